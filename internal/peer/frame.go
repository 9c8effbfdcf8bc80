package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

const (
	// ErrUnreachable means that no connection could be established, so the peer did not receive the call.
	ErrUnreachable = errors.ConstError("peer: unreachable")
	// ErrBroken means that the connection failed after the call may have reached the peer.
	ErrBroken = errors.ConstError("peer: connection broken")
	// ErrRejected means that the peer does not have the shared key, or that a frame is of an unknown kind or malformed.
	ErrRejected = errors.ConstError("peer: rejected")
	// ErrRemote means that the peer's handler returned an error, whose text is the annotation.
	ErrRemote = errors.ConstError("peer: remote error")
	// ErrOverflow means that the caller read the replies of a streamed call too slowly and its queue is full.
	ErrOverflow = errors.ConstError("peer: reader too slow")
)

// MaxFrameSize is the size in bytes of the largest frame that a daemon accepts from a peer.
const MaxFrameSize = 2 << 20

// Identity is the name, availability zone and address by which peers know a daemon.
type Identity struct {
	_ struct{} `cbor:",toarray"`

	Name             string
	AvailabilityZone string
	// Address is the IP:port of the daemon's peer listener.
	Address string
}

// Frame is one message of a call. The request and its replies carry the same ID. An ID of 0 means that the
// sender expects no reply, and More that further replies follow.
type Frame struct {
	// Encoded as an array, because field names would take most of the bytes of a small frame.
	_ struct{} `cbor:",toarray"`

	Kind  string
	ID    uint64
	Reply bool
	More  bool
	Error string
	Body  cbor.RawMessage
}

// cborNull is the CBOR encoding of an empty body.
const cborNull = 0xf6

// empty reports whether the frame has no body.
func (frm Frame) empty() bool {
	return len(frm.Body) == 0 || (len(frm.Body) == 1 && frm.Body[0] == cborNull)
}

// handshakeMessage is a message of the handshake. The connecting side sends its identity and nonce, the
// accepting side answers with its own and a proof, and the connecting side repeats its message with a proof.
type handshakeMessage struct {
	Identity Identity
	Nonce    []byte
	Proof    []byte
}

// nonceSize is the size of a handshake nonce in bytes.
const nonceSize = 32

func newNonce() []byte {
	non := make([]byte, nonceSize)
	_, _ = rand.Read(non) // crypto/rand.Read never returns an error.
	return non
}

// proof returns an HMAC with the shared key over the side, both nonces and the identity of the prover.
func proof(key []byte, side string, own, other []byte, ide Identity) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(side), own, other, []byte(ide.Name), []byte(ide.AvailabilityZone), []byte(ide.Address)} {
		mac.Write([]byte{byte(len(part) >> 8), byte(len(part))})
		mac.Write(part)
	}
	return mac.Sum(nil)
}

func encode(val any) ([]byte, error) {
	if val == nil {
		return nil, nil
	}
	data, err := cbor.Marshal(val)
	return data, errors.Trace(err)
}

// Decode decodes the body of a frame into value.
func Decode(body []byte, value any) error {
	if err := cbor.Unmarshal(body, value); err != nil {
		return errors.Annotate(ErrRejected, err.Error())
	}
	return nil
}
