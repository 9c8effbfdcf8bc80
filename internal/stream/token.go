package stream

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// ErrInvalidToken means that a resume token or an event ID is malformed or was not issued by a daemon of this
// environment.
const ErrInvalidToken = errors.ConstError("stream: invalid resume token")

// macSize is the length in bytes of the truncated message authentication code in a token.
const macSize = 16

// ResumeToken is a resume token: it identifies a stream and the engine that generates it.
type ResumeToken struct {
	RequestID string
	Attempt   int
	// Address is the IP:port of the engine of rank 0.
	Address string
	// Owner is the IP:port of the peer listener of the daemon that runs the request.
	Owner string
	// Workspace is the only one whose key may resume the stream.
	Workspace string
	Model     string
	// Chat means that the caller used the chat interface.
	Chat bool
}

// Encode returns the token as text, authenticated with the daemons' shared key.
func (tok ResumeToken) Encode(key []byte) string {
	// Marshalling a struct of strings, an integer and a boolean cannot fail.
	data, _ := cbor.Marshal(tok)
	return base64.RawURLEncoding.EncodeToString(append(authenticationCode(key, data), data...))
}

// DecodeToken parses a token and verifies that it was issued with key; it fails with ErrInvalidToken.
func DecodeToken(key []byte, text string) (ResumeToken, error) {
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(data) < macSize {
		return ResumeToken{}, errors.Trace(ErrInvalidToken)
	}
	if !hmac.Equal(data[:macSize], authenticationCode(key, data[macSize:])) {
		return ResumeToken{}, errors.Trace(ErrInvalidToken)
	}
	var tok ResumeToken
	if err := cbor.Unmarshal(data[macSize:], &tok); err != nil {
		return ResumeToken{}, errors.Trace(ErrInvalidToken)
	}
	return tok, nil
}

// EventID returns the ID of a server-sent event: the stream's token and the frame's sequence number.
func EventID(token string, sequence int) string {
	return token + "." + strconv.Itoa(sequence)
}

// ParseEventID splits the ID of a server-sent event into token and sequence number; it fails with ErrInvalidToken.
func ParseEventID(text string) (token string, sequence int, err error) {
	token, num, ok := strings.Cut(text, ".")
	seq, err := strconv.Atoi(num)
	if !ok || err != nil || seq < 0 {
		return "", 0, errors.Trace(ErrInvalidToken)
	}
	return token, seq, nil
}

func authenticationCode(key, data []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte("stream token"))
	mac.Write(data)
	return mac.Sum(nil)[:macSize]
}
