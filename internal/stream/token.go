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

// ErrToken says that a resume token is malformed or was not made by a daemon of this environment.
const ErrToken = errors.ConstError("stream: invalid resume token")

// macSize is the number of bytes of the authentication code that a token carries.
const macSize = 16

// Token names a stream at the engine that generates it.
type Token struct {
	RequestID string
	Attempt   int
	// Address is IP:port of the engine of rank 0.
	Address string
	// Owner is IP:port of the peer listener of the daemon that runs the request.
	Owner string
	// Workspace is the only one whose key may resume the stream.
	Workspace string
	Model     string
	// Chat says that the caller asked over the chat interface.
	Chat bool
}

// Encode returns the token as text, authenticated with the daemons' shared key.
func (tok Token) Encode(key []byte) string {
	// Marshalling a plain struct cannot fail.
	data, _ := cbor.Marshal(tok)
	return base64.RawURLEncoding.EncodeToString(append(code(key, data), data...))
}

// Decode reads a token and checks that it was made with key.
func Decode(key []byte, text string) (Token, error) {
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(data) < macSize {
		return Token{}, errors.Trace(ErrToken)
	}
	if !hmac.Equal(data[:macSize], code(key, data[macSize:])) {
		return Token{}, errors.Trace(ErrToken)
	}
	var tok Token
	if err := cbor.Unmarshal(data[macSize:], &tok); err != nil {
		return Token{}, errors.Trace(ErrToken)
	}
	return tok, nil
}

// EventID is the id of a server-sent event: the stream's token and the frame's sequence number.
func EventID(token string, sequence int) string {
	return token + "." + strconv.Itoa(sequence)
}

// ParseEventID splits the id of a server-sent event.
func ParseEventID(text string) (token string, sequence int, err error) {
	token, num, ok := strings.Cut(text, ".")
	seq, err := strconv.Atoi(num)
	if !ok || err != nil || seq < 0 {
		return "", 0, errors.Trace(ErrToken)
	}
	return token, seq, nil
}

func code(key, data []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte("stream token"))
	mac.Write(data)
	return mac.Sum(nil)[:macSize]
}
