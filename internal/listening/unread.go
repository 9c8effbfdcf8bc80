package listening

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"
)

// unreadInterval is the least time between two checks of what the process has not read. A check is made when a request begins, since only
// requests in progress keep the process from reading.
const unreadInterval = time.Second

// unread is what was received on a connection and not read.
type unread struct {
	conn *conn
	size int64
}

// checkUnread closes the connections with the most unread bytes until the sum is within its bound. It leaves those out from which the
// process has read since the last check, such as those whose body arrives.
func (grd *Guard) checkUnread() {
	grd.mu.Lock()
	now := grd.clock.Now()
	if now.Sub(grd.checkedAt) < unreadInterval {
		grd.mu.Unlock()
		return
	}
	grd.checkedAt = now
	var all []unread
	sum := int64(0)
	for con := range grd.connections {
		if size := con.unread(); size > 0 {
			all = append(all, unread{
				conn: con,
				size: size,
			})
			sum += size
		}
	}
	grd.mu.Unlock()
	if sum <= grd.config.MaxUnread {
		return
	}
	grd.logger.Warn("callers send more than is read beside their requests in progress; closing the connections with the most",
		zap.Int64("unread", sum), zap.Int64("limit", grd.config.MaxUnread))
	slices.SortFunc(all, func(one, two unread) int { return cmp.Compare(two.size, one.size) })
	for _, unr := range all {
		if sum <= grd.config.MaxUnread {
			return
		}
		_ = unr.conn.Close()
		grd.unreadCounter.Inc(1)
		sum -= unr.size
	}
}
