package booking

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/objects"
)

// layoutName is the name of the object that fixes the number of buckets.
const layoutName = "layout"

type layout struct {
	Buckets int
}

// buckets returns the environment's number of buckets. If the store has no layout yet, it writes the number from
// this daemon's settings.
func (led *Ledger) buckets(ctx context.Context) (int, error) {
	if num := led.layout.Load(); num > 0 {
		return int(num), nil
	}
	num, err := led.readLayout(ctx)
	if errors.Is(err, objects.ErrNotFound) {
		val, _ := json.Marshal(layout{Buckets: led.cfg.InitialBuckets}) // Encoding a struct of one integer cannot fail.
		// The result of this write does not matter: reading the object back returns the number in force.
		_, _ = led.pst.Put(ctx, objects.KindBucket, layoutName, 0, val)
		num, err = led.readLayout(ctx)
	}
	if err != nil {
		return 0, errors.Annotate(ErrUnavailable, err.Error())
	}
	if num != led.cfg.InitialBuckets {
		led.log.Warn("the stored number of buckets is in force and differs from the settings",
			zap.Int("inForce", num),
			zap.Int("settings", led.cfg.InitialBuckets),
		)
	}
	led.layout.Store(int64(num))
	return num, nil
}

func (led *Ledger) readLayout(ctx context.Context) (int, error) {
	obj, err := led.pst.Get(ctx, objects.KindBucket, layoutName)
	if err != nil {
		return 0, errors.Trace(err)
	}
	var lay layout
	if err := json.Unmarshal(obj.Value, &lay); err != nil {
		return 0, errors.Trace(err)
	}
	if lay.Buckets < 1 {
		return 0, errors.Errorf("the layout object has %d buckets, want at least 1", lay.Buckets)
	}
	return lay.Buckets, nil
}
