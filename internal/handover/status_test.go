package handover

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/connpool"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// A VM of an earlier build passes on what a replica in trouble sent, such as a status of
// 000, which a caller would get as 200.
func TestReplyWithoutValidStatusIsNoAnswer(t *testing.T) {
	g := NewWithT(t)
	for _, status := range []uint32{0, 1, 99, 100, 199, 600, 999, 1 << 31} {
		a := answerFromProto(&swpb.HandoverReply{Reply: &swpb.ReplicaReply{Status: status, NotRun: true}})
		g.Expect(a.Reply).To(BeNil(), "%d", status)
		g.Expect(a.Refusal.Outcome).To(Equal(verdict.MayHaveRun), "%d", status)
	}
	for _, status := range []uint32{200, 400, 500, 599} {
		g.Expect(answerFromProto(&swpb.HandoverReply{Reply: &swpb.ReplicaReply{Status: status}}).Reply.Status).To(BeEquivalentTo(status))
	}
}

// A VM of an earlier build passes on fields of a reply that it has read less strictly.
func TestReplyWithMalformedHeaderIsNoAnswer(t *testing.T) {
	g := NewWithT(t)
	reply := func(header ...connpool.Header) *swpb.HandoverReply {
		return &swpb.HandoverReply{Reply: &swpb.ReplicaReply{Status: 200, Header: toFields(header), Body: []byte("body"), NotRun: true}}
	}
	for _, h := range []connpool.Header{
		{Name: "X Foo", Value: "1"},
		{Name: "X-Foo ", Value: "1"},
		{Name: " X-Foo", Value: "1"},
		{Name: "X\x01", Value: "1"},
		{Name: "Content Length", Value: "4"},
		{Name: "Transfer Encoding", Value: "chunked"},
		{Name: "", Value: "1"},
		{Name: "X\r\nY", Value: "1"},
		{Name: "X:Y", Value: "1"},
		{Name: "X", Value: "a\r\nY: 1"},
		{Name: "X", Value: "a\x00"},
		{Name: "stamp", Value: "another"},
	} {
		a := answerFromProto(reply(connpool.Header{Name: "Stamp", Value: "s"}, h), "Stamp")
		g.Expect(a.Reply).To(BeNil(), "%q", h)
		g.Expect(a.Refusal.Outcome).To(Equal(verdict.MayHaveRun), "%q", h)
		g.Expect(a.Refusal.HTTPStatus()).To(Equal(502), "%q", h)
	}
	for _, h := range []connpool.Header{{Name: "Stamp", Value: "s"}, {Name: "X", Value: ""}, {Name: "X", Value: "a\tb é"}, {Name: "!#$%&'*+-.^_`|~09AZaz", Value: "1"}} {
		header := []connpool.Header{{Name: "Stamp", Value: "s"}, h}
		g.Expect(answerFromProto(reply(header...), "Stamp").Reply.Header).To(Equal(header))
	}
}

// Guards against a promise that the request has not run, which a VM of an earlier build
// passes on though the replica hasn't proved it (issue 60).
func TestReplyWithUnprovedPromiseIsNoAnswer(t *testing.T) {
	g := NewWithT(t)
	for _, status := range []uint32{408, 421, 429, 503} {
		a := answerFromProto(&swpb.HandoverReply{Reply: &swpb.ReplicaReply{Status: status}})
		g.Expect(a.Reply).To(BeNil(), "%d", status)
		g.Expect(a.Refusal.Outcome).To(Equal(verdict.RanFailed), "%d", status)
		g.Expect(a.Refusal.HTTPStatus()).To(Equal(502), "%d", status)
	}
}
