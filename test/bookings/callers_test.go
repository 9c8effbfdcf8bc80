package bookings_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/internal/standin/fleet"
	"github.com/cumintally/cumintally/internal/standin/service"
)

const (
	// workers is the number of concurrent callers.
	workers = 12
	// maxAttempts bounds the rounds of requests of one booking; a round may send two.
	maxAttempts = 8
	// requestTimeout is the time after which a caller counts a request as one without a response.
	requestTimeout = 1200 * time.Millisecond
)

// attempt is one request of a booking and the response to it, if any.
type attempt struct {
	responded  bool
	requestID  string
	status     int
	outcome    refusal.Outcome
	retryAfter string
	receipt    service.Receipt
	complete   bool
}

// booking is one booking with all its requests.
type booking struct {
	reference string
	key       string

	mu       sync.Mutex
	attempts []attempt
	// final is the request that repeats the key at the end of the run.
	final attempt
}

func (bkg *booking) add(att attempt) {
	bkg.mu.Lock()
	defer bkg.mu.Unlock()
	bkg.attempts = append(bkg.attempts, att)
}

// bookingList holds the bookings of a run.
type bookingList []*booking

// callAll requests at least *bookings keyed bookings, and one booking without a key with the first and every fourth after
// it. It continues until every kind of fault was injected twice, and once more for every hundred of *bookings.
func callAll(ctx context.Context, flt *fleet.Fleet, sed uint64, inj *faultInjector) bookingList {
	var list bookingList
	queue := make(chan *booking)
	var wgr sync.WaitGroup
	for num := range workers {
		rnd := rand.New(rand.NewPCG(sed, uint64(100+num)))
		wgr.Go(func() {
			for bkg := range queue {
				bkg.call(ctx, flt, rnd)
			}
		})
	}
	for num := 0; num < *bookings || inj.rounds() < 2+*bookings/100; num++ {
		bkg := &booking{
			reference: fmt.Sprintf("keyed-%d-%d", sed, num),
			key:       fmt.Sprintf("key-%d-%d", sed, num),
		}
		list = append(list, bkg)
		queue <- bkg
		if num%4 == 0 {
			bkg = &booking{
				reference: fmt.Sprintf("plain-%d-%d", sed, num),
			}
			list = append(list, bkg)
			queue <- bkg
		}
	}
	close(queue)
	wgr.Wait()
	return list
}

// call requests a booking in up to maxAttempts rounds, until the response of the round's first daemon has a receipt. In a
// third of the rounds a keyed request goes to a second daemon at the same time. A booking without a key is requested
// again only after a rejection as NotRun.
func (bkg *booking) call(ctx context.Context, flt *fleet.Fleet, rnd *rand.Rand) {
	for range maxAttempts {
		ent := flt.Entries[rnd.IntN(len(flt.Entries))]
		var wgr sync.WaitGroup
		if bkg.key != "" && rnd.IntN(3) == 0 {
			other := flt.Entries[rnd.IntN(len(flt.Entries))]
			wgr.Go(func() { bkg.add(bkg.request(ctx, other)) })
		}
		att := bkg.request(ctx, ent)
		bkg.add(att)
		wgr.Wait()
		if att.status == http.StatusCreated || (bkg.key == "" && att.outcome != refusal.NotRun) {
			return
		}
		sleep(ctx, time.Duration(20+rnd.IntN(200))*time.Millisecond)
	}
}

func (bkg *booking) request(ctx context.Context, ent *fleet.Entry) attempt {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body, _ := json.Marshal(service.Booking{Reference: bkg.reference})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ent.Address+"/services/jobs/bookings", bytes.NewReader(body))
	if err != nil {
		return attempt{}
	}
	// Without GetBody the client of the test cannot send a request twice by itself.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+fleet.CallerKey)
	req.Header.Set("Content-Type", "application/json")
	if bkg.key != "" {
		req.Header.Set("Idempotency-Key", `"`+bkg.key+`"`)
	}
	res, err := callerClient.Do(req)
	if err != nil {
		return attempt{}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return attempt{}
	}
	att := attempt{
		responded:  true,
		requestID:  res.Header.Get("X-Request-Id"),
		status:     res.StatusCode,
		retryAfter: res.Header.Get("Retry-After"),
	}
	if res.StatusCode == http.StatusCreated {
		att.complete = json.Unmarshal(data, &att.receipt) == nil
		return att
	}
	var prb struct{ Outcome refusal.Outcome }
	_ = json.Unmarshal(data, &prb)
	att.outcome = prb.Outcome
	return att
}

var callerClient = &http.Client{
	Transport: &http.Transport{
		DisableKeepAlives: true,
	},
}

// repeatAll requests every keyed booking once more after the faults have ended.
func (lst bookingList) repeatAll(ctx context.Context, flt *fleet.Fleet, rnd *rand.Rand) {
	slots := make(chan struct{}, workers)
	var wgr sync.WaitGroup
	for _, bkg := range lst {
		if bkg.key == "" {
			continue
		}
		ent := flt.Entries[rnd.IntN(len(flt.Entries))]
		slots <- struct{}{}
		wgr.Go(func() {
			bkg.final = bkg.request(ctx, ent)
			<-slots
		})
	}
	wgr.Wait()
}

// counts holds the counters of the service stand-ins, summed over all service VMs: runs by booking reference,
// requests by request ID.
type counts struct {
	runs     map[string]int
	requests map[string]int
}

func readCounts(ctx context.Context, flt *fleet.Fleet) (counts, error) {
	cnt := counts{
		runs:     map[string]int{},
		requests: map[string]int{},
	}
	for _, svc := range flt.Services {
		if err := addCounts(ctx, "http://"+svc.Address+"/runs", cnt.runs); err != nil {
			return cnt, err
		}
		if err := addCounts(ctx, "http://"+svc.Address+"/requests", cnt.requests); err != nil {
			return cnt, err
		}
	}
	return cnt, nil
}

func addCounts(ctx context.Context, url string, sum map[string]int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	var one map[string]int
	if err := json.NewDecoder(res.Body).Decode(&one); err != nil {
		return err
	}
	for name, num := range one {
		sum[name] += num
	}
	return nil
}

// checkInvariants checks every booking against the counts.
func (lst bookingList) checkInvariants(invs *invariants, cnt counts) {
	for _, bkg := range lst {
		runs := cnt.runs[bkg.reference]
		once := &invs.unkeyedAtMostOnce
		if bkg.key != "" {
			once = &invs.keyedAtMostOnce
		}
		once.check(runs <= 1, "%s ran %d times", bkg.reference, runs)
		earlier := service.Receipt{}
		for _, att := range append(bkg.attempts, bkg.final) {
			att.checkInvariants(invs, bkg.reference, runs, cnt)
			if att.status == http.StatusCreated {
				earlier = att.receipt
			}
		}
		if bkg.key != "" && bkg.final.responded && len(bkg.attempts) > 0 && earlier.Reference != "" {
			same := bkg.final.status == http.StatusCreated && bkg.final.receipt == earlier
			invs.repeatedKey.check(same || bkg.final.outcome == refusal.Unknown, "%s: the response to the final request is %+v", bkg.reference, bkg.final)
		}
	}
}

func (att attempt) checkInvariants(invs *invariants, reference string, runs int, cnt counts) {
	switch {
	case !att.responded:
	case att.status == http.StatusCreated:
		invs.receiptMatches.check(att.complete && att.receipt.Reference == reference && att.receipt.Run == 1 && runs == 1,
			"%s ran %d times and its receipt is %+v", reference, runs, att.receipt)
	default:
		invs.rejectionComplete.check(att.outcome != "" && att.retryAfter != "", "%s got status %d, outcome %q, Retry-After %q",
			reference, att.status, att.outcome, att.retryAfter)
		if att.outcome == refusal.NotRun {
			num := cnt.requests[att.requestID]
			invs.notRunIsTrue.check(att.requestID != "" && num == 0, "%s: request %s ran %d times", reference, att.requestID, num)
		}
	}
}

// summary counts the responses to all requests by their kind.
func (lst bookingList) summary() string {
	var requests, noResponse, receipts, notRun, unknown, finalReceipts, finalUnknown int
	for _, bkg := range lst {
		for _, att := range bkg.attempts {
			requests++
			switch {
			case !att.responded:
				noResponse++
			case att.status == http.StatusCreated:
				receipts++
			case att.outcome == refusal.NotRun:
				notRun++
			default:
				unknown++
			}
		}
		if bkg.final.status == http.StatusCreated {
			finalReceipts++
		} else if bkg.final.outcome == refusal.Unknown {
			finalUnknown++
		}
	}
	return fmt.Sprintf("%d requests (%d receipts, %d not run, %d unknown, %d without a response); repeated at the end: %d receipts, %d unknown",
		requests, receipts, notRun, unknown, noResponse, finalReceipts, finalUnknown)
}
