package trial

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// The size of each plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// policyColors are the line colours, in the order of Policies.
var policyColors = []color.Color{
	color.RGBA{R: 0xb0, G: 0x40, B: 0x30, A: 0xff},
	color.RGBA{R: 0x20, G: 0x50, B: 0xa0, A: 0xff},
}

// series describes a plot of one value for each second of a run.
type series struct {
	file  string
	label string
	value func(Second) float64
}

// plots are drawn for each scenario.
var plots = []series{
	{"p99", "p99 (ms)", func(s Second) float64 { return s.P99MS }},
	{"answered", "answered (%)", func(s Second) float64 { return 100 * float64(s.Answered) / float64(max(s.Asked, 1)) }},
	{"coverage", "coverage of answers (%)", func(s Second) float64 { return 100 * s.Coverage }},
}

// Plot writes the plots of each scenario to dir as SVG files. Each plot shows all
// policies.
func (r *Results) Plot(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, name := range ScenarioNames() {
		for _, s := range plots {
			if err := r.plotOne(dir, name, s); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *Results) plotOne(dir, scenario string, s series) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s", r.Deployment, scenario)
	p.X.Label.Text = "second of the run"
	p.Y.Label.Text = s.label
	p.Y.Min = 0
	p.Legend.Top = true
	drawn := false
	for i, policy := range Policies {
		o := r.find(scenario, policy.Name)
		if o == nil {
			continue
		}
		line, err := plotter.NewLine(points(o.Seconds, s.value))
		if err != nil {
			return err
		}
		line.Color = policyColors[i%len(policyColors)]
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(policy.Name, line)
		drawn = true
	}
	if !drawn {
		return nil
	}
	p.Add(plotter.NewGrid())
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, fmt.Sprintf("%s-%s-%s.svg", r.Deployment, scenario, s.file)))
}

func points(seconds []Second, value func(Second) float64) plotter.XYs {
	out := make(plotter.XYs, len(seconds))
	for i, s := range seconds {
		out[i] = plotter.XY{X: float64(i), Y: value(s)}
	}
	return out
}
