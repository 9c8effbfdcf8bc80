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

// maxKeySize is the maximum length of an Idempotency-Key in characters.
const maxKeySize = 255

// callWithKey reserves the call's key, sends the call at most once and stores the response under the key.
func (cli *Client) callWithKey(ctx context.Context, req Request) (Response, error) {
	key, ok := parseKey(req.IdempotencyKey)
	if !ok {
		return Response{}, refusal.Invalid(fmt.Sprintf("Idempotency-Key must have 1 to %d visible ASCII characters", maxKeySize))
	}
	rsv, err := cli.keys.Reserve(ctx, req.Workspace+"/"+req.Service, key, fingerprint(req))
	if err != nil {
		return Response{}, cli.reserveRefusal(rsv, err)
	}
	if rsv.Result != nil {
		return storedResponse(rsv.Result)
	}
	ans, err := cli.callOnce(ctx, req)
	var ref *refusal.Refusal
	if errors.As(err, &ref) && ref.Outcome == refusal.NotRun {
		cli.keys.Release(rsv)
		return Response{}, ref
	}
	if err != nil {
		// The record stays without a result, so that the call never runs again under this key.
		return Response{}, err
	}
	cli.keys.Finish(rsv, ans.Status, ans.ContentType, ans.Body)
	return ans, nil
}

func (cli *Client) reserveRefusal(rsv booking.Reservation, err error) *refusal.Refusal {
	switch {
	case errors.Is(err, booking.ErrInProgress):
		return refusal.New(refusal.Unknown, http.StatusConflict, "Outcome unknown",
			"a call with this Idempotency-Key is in progress or was lost; it is not run again", retryDelay)
	case errors.Is(err, booking.ErrContentMismatch):
		return refusal.New(refusal.NotRun, http.StatusUnprocessableEntity, "Idempotency-Key reused",
			"the Idempotency-Key was used for a call with other content", 0)
	case errors.Is(err, booking.ErrExpired):
		return refusal.New(refusal.Unknown, http.StatusConflict, "Idempotency-Key expired",
			"the Idempotency-Key was used and its result is no longer kept; it is not run again", 0)
	case errors.Is(err, booking.ErrBucketFull):
		wait := time.Duration(0)
		if !rsv.RetryAt.IsZero() {
			wait = max(retryDelay, rsv.RetryAt.Sub(cli.clk.Now()))
		}
		return refusal.Unavailable("there is no room for a new Idempotency-Key", wait)
	default:
		return refusal.Unavailable("the Idempotency-Key cannot be reserved now", retryDelay)
	}
}

// storedResponse returns the stored response of an earlier call.
func storedResponse(res *booking.Result) (Response, error) {
	if res.Omitted {
		return Response{}, refusal.New(refusal.Unknown, http.StatusConflict, "Response not stored",
			fmt.Sprintf("the call ran and was answered with status %d; its response of %d bytes with SHA-256 %s was too large to store",
				res.Status, res.Size, res.Digest), 0)
	}
	return Response{
		Status:      res.Status,
		ContentType: res.ContentType,
		Body:        res.Body,
	}, nil
}

// parseKey returns the key in an Idempotency-Key header: a quoted string as in the IETF draft, or plain text.
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

// fingerprint returns a hash of the content of a call, so that a key cannot be reused for another call.
func fingerprint(req Request) []byte {
	sum := sha256.New()
	for _, part := range []string{req.Method, req.Path, req.Query, req.ContentType} {
		fmt.Fprintf(sum, "%d:%s", len(part), part)
	}
	sum.Write(req.Body)
	return sum.Sum(nil)
}
