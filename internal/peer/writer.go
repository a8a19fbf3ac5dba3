package peer

import (
	"errors"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// Limits of a stream's write queue, write batches and read buffer.
const (
	writeQueueLength = 256
	writeBatchFrames = 64
	// writeBatchBytes ends a batch, and is the most that a stream's buffer keeps
	// between two writes. Bodies of callers' requests are up to megabytes in size.
	writeBatchBytes = 256 << 10
	readBufferBytes = 8 << 10
)

// writeTimeout ends a session whose peer stops reading. Its writers would block,
// and with them the replies and cancellations of all calls.
const writeTimeout = 5 * time.Second

// frameWriter writes the envelopes of one stream. Envelopes that are queued
// during a write are batched into the next one.
type frameWriter struct {
	queue chan outFrame
	done  chan struct{} // closed with the session
}

// outFrame is a queued envelope.
type outFrame struct {
	env *swpb.Envelope
	// onWritten, if set, is called after env has been written to the stream.
	onWritten func()
	// onTooLarge, if set, is called when env exceeds MaxFrameBytes. The envelope
	// that it returns, if not nil, is written instead.
	onTooLarge func() *swpb.Envelope
}

func newFrameWriter(done chan struct{}) *frameWriter {
	return &frameWriter{queue: make(chan outFrame, writeQueueLength), done: done}
}

// run writes until the session ends. If a write fails, it calls fail and returns.
func (w *frameWriter) run(dst net.Conn, fail func(error)) {
	var buf []byte
	var batch []outFrame
	for {
		select {
		case first := <-w.queue:
			batch = w.collect(append(batch[:0], first))
		case <-w.done:
			return
		}
		var err error
		buf, err = appendBatch(buf[:0], batch)
		if err == nil {
			_ = dst.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, err = dst.Write(buf)
		}
		if err != nil {
			fail(err)
			return
		}
		for _, f := range batch {
			if f.onWritten != nil {
				f.onWritten()
			}
		}
		clear(batch)
		if cap(buf) > writeBatchBytes {
			buf = nil
		}
	}
}

// collect adds the frames that are already queued, up to writeBatchFrames, or until they
// have writeBatchBytes.
func (w *frameWriter) collect(batch []outFrame) []outFrame {
	size := 0
	for len(batch) < writeBatchFrames {
		if size += proto.Size(batch[len(batch)-1].env); size >= writeBatchBytes {
			return batch
		}
		select {
		case f := <-w.queue:
			batch = append(batch, f)
		default:
			return batch
		}
	}
	return batch
}

func appendBatch(buf []byte, batch []outFrame) ([]byte, error) {
	for _, f := range batch {
		out, err := AppendFrame(buf, f.env)
		if errors.Is(err, ErrFrameTooLarge) && f.onTooLarge != nil {
			out, err = appendReplacement(buf, f.onTooLarge())
		}
		if err != nil {
			return buf, err
		}
		buf = out
	}
	return buf, nil
}

// appendReplacement appends the frame of env, unless env is nil.
func appendReplacement(buf []byte, env *swpb.Envelope) ([]byte, error) {
	if env == nil {
		return buf, nil
	}
	return AppendFrame(buf, env)
}
