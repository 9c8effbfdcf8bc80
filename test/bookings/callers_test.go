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
	// workers is the number of callers at a time.
	workers = 12
	// maxTries bounds the requests of one booking.
	maxTries = 8
	// patience is the time after which a caller takes a request for unanswered.
	patience = 1200 * time.Millisecond
)

// attempt is one request of a booking and what its caller was told.
type attempt struct {
	answered   bool
	requestID  string
	status     int
	outcome    refusal.Outcome
	retryAfter string
	receipt    service.Receipt
	complete   bool
}

// wish is one booking with all its requests.
type wish struct {
	reference string
	key       string

	mu       sync.Mutex
	attempts []attempt
	last     attempt
}

func (wsh *wish) add(att attempt) {
	wsh.mu.Lock()
	defer wsh.mu.Unlock()
	wsh.attempts = append(wsh.attempts, att)
}

// wishes are the bookings of a run.
type wishes []*wish

// callAll makes the keyed bookings of a run, and one booking without key beside every fourth. It goes on
// until every kind of failure has happened twice, and once more for every hundred bookings.
func callAll(ctx context.Context, flt *fleet.Fleet, sed uint64, dst *disturber) wishes {
	var list wishes
	queue := make(chan *wish)
	var wgr sync.WaitGroup
	for num := range workers {
		rnd := rand.New(rand.NewPCG(sed, uint64(100+num)))
		wgr.Go(func() {
			for wsh := range queue {
				wsh.call(ctx, flt, rnd)
			}
		})
	}
	for num := 0; num < *bookings || dst.rounds() < 2+*bookings/100; num++ {
		wsh := &wish{
			reference: fmt.Sprintf("keyed-%d-%d", sed, num),
			key:       fmt.Sprintf("key-%d-%d", sed, num),
		}
		list = append(list, wsh)
		queue <- wsh
		if num%4 == 0 {
			wsh = &wish{
				reference: fmt.Sprintf("plain-%d-%d", sed, num),
			}
			list = append(list, wsh)
			queue <- wsh
		}
	}
	close(queue)
	wgr.Wait()
	return list
}

// call requests a booking until it is answered with a receipt; a third of the keyed ones go to two
// daemons at once. A booking without key is requested again only after a rejection as not run.
func (wsh *wish) call(ctx context.Context, flt *fleet.Fleet, rnd *rand.Rand) {
	for range maxTries {
		ent := flt.Entries[rnd.IntN(len(flt.Entries))]
		var wgr sync.WaitGroup
		if wsh.key != "" && rnd.IntN(3) == 0 {
			other := flt.Entries[rnd.IntN(len(flt.Entries))]
			wgr.Go(func() { wsh.add(wsh.request(ctx, other)) })
		}
		att := wsh.request(ctx, ent)
		wsh.add(att)
		wgr.Wait()
		if att.status == http.StatusCreated || (wsh.key == "" && att.outcome != refusal.NotRun) {
			return
		}
		pause(ctx, time.Duration(20+rnd.IntN(200))*time.Millisecond)
	}
}

func (wsh *wish) request(ctx context.Context, ent *fleet.Entry) attempt {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	body, _ := json.Marshal(service.Booking{Reference: wsh.reference})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ent.Address+"/services/jobs/bookings", bytes.NewReader(body))
	if err != nil {
		return attempt{}
	}
	// The test's own client must not send a request twice.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+fleet.CallerKey)
	req.Header.Set("Content-Type", "application/json")
	if wsh.key != "" {
		req.Header.Set("Idempotency-Key", `"`+wsh.key+`"`)
	}
	res, err := callers.Do(req)
	if err != nil {
		return attempt{}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return attempt{}
	}
	att := attempt{
		answered:   true,
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

var callers = &http.Client{
	Transport: &http.Transport{
		DisableKeepAlives: true,
	},
}

// repeatAll requests every keyed booking once more after the fleet has healed.
func (wss wishes) repeatAll(ctx context.Context, flt *fleet.Fleet, rnd *rand.Rand) {
	slots := make(chan struct{}, workers)
	var wgr sync.WaitGroup
	for _, wsh := range wss {
		if wsh.key == "" {
			continue
		}
		ent := flt.Entries[rnd.IntN(len(flt.Entries))]
		slots <- struct{}{}
		wgr.Go(func() {
			wsh.last = wsh.request(ctx, ent)
			<-slots
		})
	}
	wgr.Wait()
}

// counts are the service stand-ins' own counts, summed over all service VMs.
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

// judge checks every booking against the counts.
func (wss wishes) judge(vrd *verdict, cnt counts) {
	for _, wsh := range wss {
		runs := cnt.runs[wsh.reference]
		once := &vrd.plainOnce
		if wsh.key != "" {
			once = &vrd.keyOnce
		}
		once.check(runs <= 1, "%s ran %d times", wsh.reference, runs)
		had := service.Receipt{}
		for _, att := range append(wsh.attempts, wsh.last) {
			att.judge(vrd, wsh.reference, runs, cnt)
			if att.status == http.StatusCreated {
				had = att.receipt
			}
		}
		if wsh.key != "" && wsh.last.answered && len(wsh.attempts) > 0 && had.Reference != "" {
			same := wsh.last.status == http.StatusCreated && wsh.last.receipt == had
			vrd.stored.check(same || wsh.last.outcome == refusal.Unknown, "%s: the last answer is %+v", wsh.reference, wsh.last)
		}
	}
}

func (att attempt) judge(vrd *verdict, reference string, runs int, cnt counts) {
	switch {
	case !att.answered:
	case att.status == http.StatusCreated:
		vrd.receipt.check(att.complete && att.receipt.Reference == reference && att.receipt.Run == 1 && runs == 1,
			"%s ran %d times and got %+v", reference, runs, att.receipt)
	default:
		vrd.problem.check(att.outcome != "" && att.retryAfter != "", "%s got status %d, outcome %q, Retry-After %q",
			reference, att.status, att.outcome, att.retryAfter)
		if att.outcome == refusal.NotRun {
			num := cnt.requests[att.requestID]
			vrd.notRun.check(att.requestID != "" && num == 0, "%s: request %s ran %d times", reference, att.requestID, num)
		}
	}
}

// summary counts the answers of all requests.
func (wss wishes) summary() string {
	var tries, none, receipts, notRun, unknown, lastReceipt, lastUnknown int
	for _, wsh := range wss {
		for _, att := range wsh.attempts {
			tries++
			switch {
			case !att.answered:
				none++
			case att.status == http.StatusCreated:
				receipts++
			case att.outcome == refusal.NotRun:
				notRun++
			default:
				unknown++
			}
		}
		if wsh.last.status == http.StatusCreated {
			lastReceipt++
		} else if wsh.last.outcome == refusal.Unknown {
			lastUnknown++
		}
	}
	return fmt.Sprintf("%d requests (%d receipts, %d not run, %d unknown, %d unanswered); repeated at the end: %d receipts, %d unknown",
		tries, receipts, notRun, unknown, none, lastReceipt, lastUnknown)
}
