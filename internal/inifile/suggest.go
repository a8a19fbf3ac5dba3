package inifile

import "sort"

// maxSuggestDistance is the largest edit distance at which a known key is
// suggested for an unknown one.
const maxSuggestDistance = 3

// suggest returns a fix for an unknown key: the closest known key or, if none is
// close, to remove it.
func suggest(key string, known []string) string {
	sort.Strings(known)
	best, bestDist := "", maxSuggestDistance+1
	for _, k := range known {
		if d := editDistance(key, k); d < bestDist {
			best, bestDist = k, d
		}
	}
	if best == "" {
		return "remove it"
	}
	return "did you mean " + best + "?"
}

// editDistance returns the Levenshtein distance of a and b in bytes.
func editDistance(a, b string) int {
	prev := make([]int, len(b)+1)
	for j := range prev {
		prev[j] = j
	}
	for i := 1; i <= len(a); i++ {
		cur := make([]int, len(b)+1)
		cur[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			cur[j] = min(prev[j]+1, cur[j-1]+1, prev[j-1]+cost)
		}
		prev = cur
	}
	return prev[len(b)]
}
