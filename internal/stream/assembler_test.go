package stream_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/stream"
)

// Guards against a response that contains a frame of another request or attempt, or a frame out of order.
func TestAcceptTakesOnlyTheNextFrame(tst *testing.T) {
	asm := stream.New("req", 1, 0)
	accept := func(id string, attempt, seq int) (bool, error) {
		return asm.Accept(backend.Frame{
			RequestID: id,
			Attempt:   attempt,
			Sequence:  seq,
		})
	}
	for _, cas := range []struct {
		id           string
		attempt, seq int
		ok, gap      bool
	}{
		{id: "req", attempt: 1, seq: 0, ok: true},
		{id: "req", attempt: 1, seq: 0},
		{id: "other", attempt: 1, seq: 1},
		{id: "req", attempt: 0, seq: 1},
		{id: "req", attempt: 1, seq: 2, gap: true},
		{id: "req", attempt: 1, seq: 1, ok: true},
		{id: "req", attempt: 1, seq: 0},
		{id: "req", attempt: 1, seq: 2, ok: true},
	} {
		ok, err := accept(cas.id, cas.attempt, cas.seq)
		qt.Check(tst, ok, qt.Equals, cas.ok, qt.Commentf("%+v", cas))
		qt.Check(tst, err != nil, qt.Equals, cas.gap, qt.Commentf("%+v", cas))
	}
	qt.Assert(tst, asm.Drops(), qt.Equals, stream.DropCounts{Foreign: 2, Repeated: 2, Early: 1})
	qt.Assert(tst, asm.Next(), qt.Equals, 3)
}

// Guards against a token that another workspace or a caller has forged.
func TestDecodeRejectsChangedTokens(tst *testing.T) {
	tok := stream.ResumeToken{RequestID: "req", Attempt: 2, Address: "127.0.0.1:1", Owner: "127.0.0.1:2", Workspace: "polishing"}
	text := tok.Encode([]byte("key"))
	got, err := stream.DecodeToken([]byte("key"), text)
	qt.Assert(tst, err, qt.IsNil)
	qt.Assert(tst, got, qt.Equals, tok)
	_, err = stream.DecodeToken([]byte("other"), text)
	qt.Assert(tst, err, qt.ErrorIs, stream.ErrInvalidToken)
	_, err = stream.DecodeToken([]byte("key"), text[:len(text)-2]+"AA")
	qt.Assert(tst, err, qt.ErrorIs, stream.ErrInvalidToken)
}

func FuzzDecode(fzz *testing.F) {
	fzz.Add("")
	fzz.Add("AAAA.1")
	fzz.Fuzz(func(tst *testing.T, text string) {
		if tok, _, err := stream.ParseEventID(text); err == nil {
			if _, err := stream.DecodeToken([]byte("key"), tok); err == nil {
				tst.Fatalf("%q was not made with the key", text)
			}
		}
	})
}
