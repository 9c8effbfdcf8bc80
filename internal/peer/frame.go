package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

const (
	// ErrUnreachable says that no connection could be made, so the peer did not get the call.
	ErrUnreachable = errors.ConstError("peer: unreachable")
	// ErrBroken says that the connection broke after the call may have reached the peer.
	ErrBroken = errors.ConstError("peer: connection broken")
	// ErrRejected says that the peer does not know the shared key or the kind of the frame.
	ErrRejected = errors.ConstError("peer: rejected")
	// ErrRemote says that the peer's handler failed; the text is the peer's.
	ErrRemote = errors.ConstError("peer: remote error")
	// ErrOverflow says that the reader of a streamed call did not keep up.
	ErrOverflow = errors.ConstError("peer: reader too slow")
)

// MaxFrameSize is the largest frame in bytes that a daemon takes from a peer.
const MaxFrameSize = 2 << 20

// Identity names a daemon to its peers.
type Identity struct {
	_ struct{} `cbor:",toarray"`

	Name             string
	AvailabilityZone string
	// Address is IP:port of the daemon's peer listener.
	Address string
}

// Frame is the unit of exchange. A call and its replies share ID; More says that a reply is not the last.
type Frame struct {
	// A frame goes without the names of its fields, which would be most of a small one.
	_ struct{} `cbor:",toarray"`

	Kind  string
	ID    uint64
	Reply bool
	More  bool
	Error string
	Body  cbor.RawMessage
}

// cborNull is what an empty body is encoded as.
const cborNull = 0xf6

// empty reports whether the frame has no body.
func (frm Frame) empty() bool {
	return len(frm.Body) == 0 || (len(frm.Body) == 1 && frm.Body[0] == cborNull)
}

type hello struct {
	Identity Identity
	Nonce    []byte
	Proof    []byte
}

const nonceSize = 32

func newNonce() []byte {
	non := make([]byte, nonceSize)
	_, _ = rand.Read(non) // crypto/rand.Read never returns an error.
	return non
}

// proof binds the side, both nonces and the prover's identity to the shared key.
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

// Decode reads the body of a frame into val.
func Decode(body []byte, val any) error {
	if err := cbor.Unmarshal(body, val); err != nil {
		return errors.Annotate(ErrRejected, err.Error())
	}
	return nil
}
