package main

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// graceTime is the time between SIGTERM and SIGKILL of the sheet of khangai-ger.
const graceTime = 8 * time.Second

// excusedFrom is the time after SIGTERM from which the rule excuses requests at which runners are still at work: the last sixth of
// the grace time.
const excusedFrom = graceTime * 5 / 6

// runHangup checks that a daemon that stops answers the requests that it has passed on, though its settings file changes
// meanwhile.
func runHangup(lab *lab, trouble bool) error {
	runners, err := lab.startPlainSite(3, 300*time.Millisecond, route("deposit-post", "/deposits/", "non_idempotent", plainService, 1))
	if err != nil {
		return err
	}
	stopped := lab.daemons[0]
	cli := newClient(lab.rec, stopped)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var sending sync.WaitGroup
	sending.Go(func() {
		cli.sendSteadily(ctx, 25*time.Millisecond, func() {
			_, _ = cli.send(http.MethodPost, "/deposits/2f", "", 2500*time.Millisecond, "deposit")
		})
	})
	time.Sleep(5 * time.Second)
	termAt := time.Now()
	lab.rec.printf("%s gets SIGTERM", stopped.name)
	if err := stopped.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if trouble {
		lab.rec.printf("%s gets SIGHUP", stopped.name)
		if err := stopped.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	// From here on the platform sends no more connections; requests in progress go on.
	stop()
	sending.Wait()
	<-stopped.ended
	lab.rec.printf("%s ended %.1f s after SIGTERM: %v", stopped.name, time.Since(termAt).Seconds(), stopped.cmd.ProcessState)
	lost := 0
	for _, rnr := range runners {
		for _, arr := range rnr.reached() {
			snd, ok := cli.sending(arr.request)
			if ok && snd.brokeOff() && snd.endedAt.After(termAt) && snd.endedAt.Before(termAt.Add(excusedFrom)) {
				lost++
				lab.rec.printf("request %s was passed on to %s and its connection ended without an answer: %v", arr.request, rnr.id, snd.err)
			}
		}
	}
	lab.rec.printf("%d requests that had been passed on got no answer", lost)
	if lost > 0 {
		return errBroken
	}
	return nil
}
