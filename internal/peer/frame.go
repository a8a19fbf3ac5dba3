package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// MaxFrameBytes is the size limit of an encoded envelope.
const MaxFrameBytes = 8 << 20

// headerBytes is the size of the length prefix of an envelope.
const headerBytes = 4

// Errors returned by AppendFrame and ReadFrame.
var (
	ErrFrameTooLarge = errors.New("peer: frame too large")
	ErrBadFrame      = errors.New("peer: malformed frame")
)

// AppendFrame appends the frame of env to buf.
func AppendFrame(buf []byte, env *swpb.Envelope) ([]byte, error) {
	start := len(buf)
	buf = append(buf, 0, 0, 0, 0)
	out, err := proto.MarshalOptions{}.MarshalAppend(buf, env)
	if err != nil {
		return buf[:start], fmt.Errorf("%w: %w", ErrBadFrame, err)
	}
	size := len(out) - start - headerBytes
	if size > MaxFrameBytes {
		return out[:start], fmt.Errorf("%w: %d bytes, at most %d", ErrFrameTooLarge, size, MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(out[start:], uint32(size))
	return out, nil
}

// ReadFrame reads one envelope. It checks the length prefix before it allocates
// the buffer.
func ReadFrame(r io.Reader) (*swpb.Envelope, error) {
	var head [headerBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > MaxFrameBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrFrameTooLarge, size, MaxFrameBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	env := &swpb.Envelope{}
	if err := proto.Unmarshal(body, env); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadFrame, err)
	}
	return env, nil
}
