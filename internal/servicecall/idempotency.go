package servicecall

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/booking"
	"github.com/cumintally/cumintally/internal/refusal"
)

// maxKeySize is the longest Idempotency-Key in characters that is taken.
const maxKeySize = 255

// callKeyed reserves the call's key, sends the call at most once, and stores the response under the key.
func (cal *Caller) callKeyed(ctx context.Context, req Request) (Answer, error) {
	key, ok := parseKey(req.IdempotencyKey)
	if !ok {
		return Answer{}, refusal.Invalid(fmt.Sprintf("Idempotency-Key must have 1 to %d visible ASCII characters", maxKeySize))
	}
	rsv, err := cal.led.Reserve(ctx, req.Workspace+"/"+req.Service, key, fingerprint(req))
	if err != nil {
		return Answer{}, cal.reserveRefusal(rsv, err)
	}
	if rsv.Result != nil {
		return replay(rsv.Result)
	}
	ans, err := cal.callOnce(ctx, req)
	var ref *refusal.Refusal
	if errors.As(err, &ref) && ref.Outcome == refusal.NotRun {
		cal.led.Release(rsv)
		return Answer{}, ref
	}
	if err != nil {
		// The record stays without a result, so that the key never runs again.
		return Answer{}, err
	}
	cal.led.Finish(rsv, ans.Status, ans.ContentType, ans.Body)
	return ans, nil
}

func (cal *Caller) reserveRefusal(rsv booking.Reservation, err error) *refusal.Refusal {
	switch {
	case errors.Is(err, booking.ErrInProgress):
		return refusal.New(refusal.Unknown, http.StatusConflict, "Outcome unknown",
			"a call with this Idempotency-Key is in progress or was lost; it is not run again", comeBack)
	case errors.Is(err, booking.ErrMismatch):
		return refusal.New(refusal.NotRun, http.StatusUnprocessableEntity, "Idempotency-Key reused",
			"the Idempotency-Key was used for a call with other content", 0)
	case errors.Is(err, booking.ErrExpired):
		return refusal.New(refusal.Unknown, http.StatusConflict, "Idempotency-Key expired",
			"the Idempotency-Key was used and its result is no longer kept; it is not run again", 0)
	case errors.Is(err, booking.ErrFull):
		wait := time.Duration(0)
		if !rsv.RoomAt.IsZero() {
			wait = max(comeBack, rsv.RoomAt.Sub(cal.clk.Now()))
		}
		return refusal.Unavailable("there is no room for a new Idempotency-Key", wait)
	default:
		return refusal.Unavailable("the Idempotency-Key cannot be reserved now", comeBack)
	}
}

// replay returns the stored response of an earlier call.
func replay(res *booking.Result) (Answer, error) {
	if res.Omitted {
		return Answer{}, refusal.New(refusal.Unknown, http.StatusConflict, "Response not stored",
			fmt.Sprintf("the call ran and was answered with status %d; its response of %d bytes with SHA-256 %s was too large to store",
				res.Status, res.Size, res.Digest), 0)
	}
	return Answer{
		Status:      res.Status,
		ContentType: res.ContentType,
		Body:        res.Body,
	}, nil
}

// parseKey takes the key of an Idempotency-Key header: a quoted string as in the IETF draft, or bare text.
func parseKey(text string) (string, bool) {
	key := strings.TrimSpace(text)
	if len(key) >= 2 && key[0] == '"' && key[len(key)-1] == '"' {
		key = key[1 : len(key)-1]
	}
	if key == "" || len(key) > maxKeySize {
		return "", false
	}
	for _, chr := range []byte(key) {
		if chr < ' ' || chr > '~' {
			return "", false
		}
	}
	return key, true
}

// fingerprint identifies what a call asks for, so that a key cannot be reused for another call.
func fingerprint(req Request) []byte {
	sum := sha256.New()
	for _, part := range []string{req.Method, req.Path, req.Query, req.ContentType} {
		fmt.Fprintf(sum, "%d:%s", len(part), part)
	}
	sum.Write(req.Body)
	return sum.Sum(nil)
}
