package stream

import (
	"encoding/base64"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

// FuzzToken guards against accepting a token that was not issued with the key. It also guards against a panic on a
// token that is authentic but has invalid content, such as one from a daemon of another version.
func FuzzToken(fzz *testing.F) {
	key := []byte("key")
	tok := ResumeToken{
		RequestID: "one",
		Attempt:   1,
		Address:   "127.0.0.1:1",
		Workspace: "polishing",
	}
	data, _ := cbor.Marshal(tok)
	fzz.Add(tok.Encode(key), data)
	fzz.Add(tok.Encode([]byte("another")), []byte{0xa0})
	fzz.Add("", []byte{})
	fzz.Add("AAAAAAAAAAAAAAAAAAAAAA", []byte{0xbf, 0xff})
	fzz.Fuzz(func(tst *testing.T, text string, data []byte) {
		if got, err := DecodeToken(key, text); err == nil {
			raw, _ := base64.RawURLEncoding.DecodeString(text)
			qt.Check(tst, raw[:macSize], qt.DeepEquals, authenticationCode(key, raw[macSize:]))
			qt.Check(tst, got, qt.Equals, tok, qt.Commentf("no other token was made with the key"))
		} else {
			qt.Check(tst, err, qt.ErrorIs, ErrInvalidToken)
		}
		got, err := DecodeToken(key, base64.RawURLEncoding.EncodeToString(append(authenticationCode(key, data), data...)))
		if err != nil {
			qt.Check(tst, err, qt.ErrorIs, ErrInvalidToken)
			return
		}
		again, err := DecodeToken(key, got.Encode(key))
		qt.Check(tst, err, qt.IsNil)
		qt.Check(tst, again, qt.Equals, got)
	})
}

// FuzzEventID guards against an event ID that is parsed to other values than were encoded.
func FuzzEventID(fzz *testing.F) {
	fzz.Add("token.7")
	fzz.Add("token.-1")
	fzz.Add("token.")
	fzz.Add("a.b.3")
	fzz.Add("token.9223372036854775808")
	fzz.Fuzz(func(tst *testing.T, text string) {
		token, seq, err := ParseEventID(text)
		if err != nil {
			qt.Check(tst, err, qt.ErrorIs, ErrInvalidToken)
			return
		}
		tok, again, err := ParseEventID(EventID(token, seq))
		qt.Check(tst, err, qt.IsNil)
		qt.Check(tst, tok, qt.Equals, token)
		qt.Check(tst, again, qt.Equals, seq)
	})
}
