package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["header"] = playHeader }

// playHeader has clients keep connections open over a configuration that raises
// maxHeaderBytes. Without trouble, that configuration is there before they connect.
func playHeader(d *deployment, trouble bool) (int, error) {
	if err := startDesk(d, 3, 6, 10*time.Millisecond, []string{}); err != nil {
		return cantRun, err
	}
	raise := func() {
		d.record.printf("version 2, which raises maxHeaderBytes, is acknowledged")
		d.store.put("op/config", strings.Replace(deskConfig(2, []string{}), `"maxHeaderBytes":16384`, `"maxHeaderBytes":65536`, 1))
	}
	if !trouble {
		raise()
		time.Sleep(5 * time.Second)
	}
	const perVM = 30
	var conns []net.Conn
	var readers []*bufio.Reader
	for i := range perVM * len(d.vms) {
		c, err := net.Dial("tcp", d.vms[i%len(d.vms)].callers)
		if err != nil {
			return cantRun, err
		}
		defer func() { _ = c.Close() }()
		conns, readers = append(conns, c), append(readers, bufio.NewReader(c))
	}
	number := 0
	ask := func(i, headerBytes int) (int, error) {
		number++
		_ = conns[i].SetDeadline(time.Now().Add(4 * time.Second))
		text := fmt.Sprintf("GET /goka902/2f HTTP/1.1\r\nHost: leno12.example\r\nRequest-Id: r%06d\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer ", number)
		text += strings.Repeat("x", headerBytes-len(text)-4) + "\r\n\r\n"
		if _, err := io.WriteString(conns[i], text); err != nil {
			return 0, err
		}
		resp, err := http.ReadResponse(readers[i], nil)
		if err != nil {
			return 0, err
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		d.record.printf("r%06d with a header of %d bytes on connection %d: status %d", number, headerBytes, i, resp.StatusCode)
		return resp.StatusCode, nil
	}
	for i := range conns {
		if status, err := ask(i, 500); err != nil || status != http.StatusOK {
			return cantRun, fmt.Errorf("before the change: status %d, %w", status, err)
		}
	}
	if trouble {
		raise()
	}
	for range 10 { // the clients go on, within the limit of both versions
		time.Sleep(500 * time.Millisecond)
		for i := range conns {
			if i%10 == 0 {
				_, _ = ask(i, 500)
			}
		}
	}
	denied := 0
	for i := range conns {
		status, err := ask(i, 20_000)
		if err != nil || status >= 300 && status < 500 {
			denied++
		}
	}
	d.record.summary("%d of %d requests, all %d on kept connections with headers of 20000 bytes, were denied more than 5 s after the acknowledgement", denied, number, len(conns))
	if denied > 5+number/500 {
		return broken, nil
	}
	return held, nil
}
