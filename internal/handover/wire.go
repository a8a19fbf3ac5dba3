package handover

import (
	"iter"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/connpool"
	"github.com/sapphirewall/sapphirewall/internal/decide/apikey"
	"github.com/sapphirewall/sapphirewall/internal/direct"
	"github.com/sapphirewall/sapphirewall/internal/httpreply"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// toProto returns the message that hands a request over. age is the part of the caller's
// time that is used up when the answer is back, besides its execution.
func toProto(req *direct.Request, need *direct.Need, age time.Duration, maxAttempts int, counted bool) *swpb.HandoverRequest {
	msg := &swpb.HandoverRequest{
		RequestId: req.ID, Method: req.Method, Host: req.Host, Target: req.Target, Header: toFields(need.HeaderFor(req)), Body: req.Body,
		BudgetUs: uint64(req.Budget / time.Microsecond), AgeUs: uint64((age + req.Uncertain) / time.Microsecond), MaxAttempts: uint32(maxAttempts),
		Team: need.Team, Counted: counted,
	}
	if need.Teams && req.Credential.Fault == apikey.OK {
		msg.KeyDigest = req.Credential.Digest[:]
	}
	return msg
}

// fromProto returns the request that another VM hands over. split takes the fields that
// name a key and a team out of its header; nil: there are none.
func fromProto(now time.Time, r *swpb.HandoverRequest, split func(*direct.Request)) *direct.Request {
	req := &direct.Request{
		Budget:      time.Duration(r.GetBudgetUs()) * time.Microsecond,
		Arrived:     now.Add(-time.Duration(r.GetAgeUs()) * time.Microsecond),
		MaxAttempts: int(r.GetMaxAttempts()),
	}
	req.ID, req.Method, req.Host, req.Target = r.GetRequestId(), r.GetMethod(), r.GetHost(), r.GetTarget()
	req.Header, req.Body = fromFields(r.GetHeader()), r.GetBody()
	req.HandedOver, req.Team, req.Counted = true, r.GetTeam(), r.GetCounted()
	if split != nil {
		split(req)
	}
	if digest := r.GetKeyDigest(); len(digest) == len(apikey.Digest{}) {
		req.Credential = apikey.Credential{Fault: apikey.OK, Digest: apikey.Digest(digest)}
	}
	return req
}

func toFields(header []connpool.Header) []*swpb.HeaderField {
	out := make([]*swpb.HeaderField, len(header))
	for i, h := range header {
		out[i] = &swpb.HeaderField{Name: h.Name, Value: h.Value}
	}
	return out
}

func fromFields(header []*swpb.HeaderField) []connpool.Header {
	out := make([]connpool.Header, len(header))
	for i, h := range header {
		out[i] = connpool.Header{Name: h.GetName(), Value: h.GetValue()}
	}
	return out
}

func namesAndValues(header []*swpb.HeaderField) iter.Seq2[string, string] {
	return func(yield func(name, value string) bool) {
		for _, h := range header {
			if !yield(h.GetName(), h.GetValue()) {
				return
			}
		}
	}
}

func replyToProto(a *direct.Answer) *swpb.HandoverReply {
	switch {
	case a.HandOver != nil:
		return &swpb.HandoverReply{Refusal: verdict.ToProto(a.HandOver.Refusal), AttemptsLeft: uint32(a.HandOver.MaxAttempts), Counted: a.HandOver.Counted}
	case a.Refusal != nil:
		return &swpb.HandoverReply{Refusal: verdict.ToProto(a.Refusal)}
	case a.Gathered != nil:
		g := a.Gathered
		return &swpb.HandoverReply{Gathered: &swpb.GatheredParts{Receipts: g.Receipts, Missing: uint32(g.Missing), Body: g.Body}}
	}
	r := a.Reply
	return &swpb.HandoverReply{Reply: &swpb.ReplicaReply{Status: uint32(r.Status), Header: toFields(r.Header), Body: r.Body, NotRun: r.NotRun}}
}

// answerOfReply returns the answer with a replica's reply that another VM passes on. A VM of
// an earlier build may have read it less strictly.
func answerOfReply(p *swpb.ReplicaReply, singleFields []string) *direct.Answer {
	if err := httpreply.CheckDecoded(int(p.GetStatus()), namesAndValues(p.GetHeader()), singleFields...); err != nil {
		return &direct.Answer{Refusal: verdict.Newf(verdict.MayHaveRun, verdict.BadAnswer, "broken answer: %v", err)}
	}
	r := &connpool.Reply{Status: int(p.GetStatus()), Header: fromFields(p.GetHeader()), Body: p.GetBody(), NotRun: p.GetNotRun()}
	if !r.MayBePassedOn() {
		return &direct.Answer{Refusal: verdict.Newf(verdict.RanFailed, verdict.UpstreamError, "status %d of a replica", r.Status)}
	}
	return &direct.Answer{Reply: r}
}

// answerFromProto returns the answer of another VM. A reply without any, as of a build
// that doesn't know the call, says that the request did not run there. singleFields are the
// header fields of a reply that have one value.
func answerFromProto(r *swpb.HandoverReply, singleFields ...string) *direct.Answer {
	switch {
	case r.GetRefusal() != nil && r.GetAttemptsLeft() > 0:
		return &direct.Answer{HandOver: &direct.HandOver{MaxAttempts: int(r.GetAttemptsLeft()), Counted: r.GetCounted(), Refusal: verdict.FromProto(r.GetRefusal())}}
	case r.GetRefusal() != nil:
		return &direct.Answer{Refusal: verdict.FromProto(r.GetRefusal())}
	case r.GetGathered() != nil:
		g := r.GetGathered()
		return &direct.Answer{Gathered: &direct.Gathered{Receipts: g.GetReceipts(), Missing: int(g.GetMissing()), Body: g.GetBody()}}
	case r.GetReply() != nil:
		return answerOfReply(r.GetReply(), singleFields)
	}
	return &direct.Answer{Refusal: verdict.New(verdict.NotRun, verdict.PeerLost, "the VM takes no requests of others")}
}
