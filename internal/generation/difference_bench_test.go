package generation_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/cumintally/cumintally/internal/objects"
	standin "github.com/cumintally/cumintally/internal/standin/platform"
)

// BenchmarkDifference measures the time in which a daemon applies a difference of one part that it receives from a
// peer, and the sizes of the difference and of the whole document, for several numbers of parts.
func BenchmarkDifference(b *testing.B) {
	for _, parts := range []int{50, 200, 800} {
		b.Run(fmt.Sprintf("Parts=%d", parts), func(b *testing.B) {
			ctx := context.Background()
			pst := standin.NewStore().ObjectStore()
			leader := newStore(pst)
			shares := make([]int, parts)
			for idx := range shares {
				shares[idx] = 1
			}
			var wholes [][]byte
			for gen := range 2 {
				shares[0] = gen + 1
				if _, err := promote(ctx, leader, newDocument(shares...), uint64(gen)); err != nil {
					b.Fatal(err)
				}
				if err := follow(ctx, pst, leader); err != nil {
					b.Fatal(err)
				}
				whole, err := leader.EncodeDifference(0)
				if err != nil {
					b.Fatal(err)
				}
				wholes = append(wholes, whole)
			}
			difference, err := leader.EncodeDifference(1)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				b.StopTimer()
				daemon := newStore(objects.Store{})
				if err := daemon.ApplyDifference(ctx, wholes[0]); err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
				if err := daemon.ApplyDifference(ctx, difference); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(wholes[1])), "whole-B")
			b.ReportMetric(float64(len(difference)), "difference-B")
		})
	}
}
