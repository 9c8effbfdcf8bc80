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

// buckets returns the environment's number of buckets; the first daemon that asks writes its own setting.
func (led *Ledger) buckets(ctx context.Context) (int, error) {
	if num := led.layout.Load(); num > 0 {
		return int(num), nil
	}
	num, err := led.readLayout(ctx)
	if errors.Is(err, objects.ErrNotFound) {
		val, _ := json.Marshal(layout{Buckets: led.cfg.Buckets}) // A struct of one number always encodes.
		// Whatever became of this write, reading the object back tells which number is in force.
		_, _ = led.pst.Put(ctx, objects.KindBucket, layoutName, 0, val)
		num, err = led.readLayout(ctx)
	}
	if err != nil {
		return 0, errors.Annotate(ErrUnavailable, err.Error())
	}
	if num != led.cfg.Buckets {
		led.log.Warn("the number of buckets is fixed and differs from the settings",
			zap.Int("inForce", num),
			zap.Int("settings", led.cfg.Buckets),
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
		return 0, errors.Errorf("layout has %d buckets", lay.Buckets)
	}
	return lay.Buckets, nil
}
