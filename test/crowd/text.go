package crowd

import (
	"fmt"
	"strings"
)

// Head returns the begin of a request whose head is filled with one line up to a size. start
// is its first lines.
func Head(start, line string, size int) string {
	return start + strings.Repeat(line, (size-len(start))/len(line))
}

// Body returns a request with a body of a size in one of two framings, without its last
// bytes. start is its first lines.
func Body(start string, chunked bool, size, short int) string {
	body := strings.Repeat("x", size-short)
	if !chunked {
		return start + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + body
	}
	end := ""
	if short == 0 {
		end = "\r\n0\r\n\r\n"
	}
	return start + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size) + body + end
}
