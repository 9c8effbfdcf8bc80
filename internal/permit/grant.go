package permit

import (
	"math"
	"sort"
	"time"
)

func (sta *state) grant(holder string, instance uint64, ask Ask, viw view, now time.Time) Grant {
	sta.take(ask, now)
	sta.expire(now)
	if old, ok := sta.holders[holder]; ok && old.instance != instance {
		sta.abandon(holder, old)
	}
	delete(sta.orphans, orphanKey{holder: holder, instance: instance})
	hol := &holding{
		instance: instance,
		slots:    max(ask.Hold, ask.Running),
		running:  ask.Running,
		expires:  now.Add(sta.cfg.ValidFor + sta.cfg.Margin),
		demand:   ask.Demand,
	}
	sta.holders[holder] = hol
	if !sta.obs.Cold {
		if now.Before(sta.noNewBefore) {
			// The slots in use were granted by an earlier owner, whose limit is not known here.
			sta.growth.raise(min(sta.held(), sta.obs.WarmLimit))
		}
		used := sta.queued() > 0 || 10*sta.running() >= 8*sta.limit()
		sta.growth.measure(sta.cfg, ask, used, sta.obs.WarmLimit, now)
	}
	slots := sta.slots(holder, ask, viw, now)
	hol.slots = max(hol.slots, slots)
	return Grant{
		Group:       ask.Group,
		Incarnation: sta.obs.Incarnation,
		Cold:        sta.obs.Cold,
		Slots:       slots,
		ValidFor:    sta.cfg.ValidFor,
		Limit:       sta.limit(),
		Running:     sta.running(),
		Queued:      sta.queued(),
	}
}

// take lowers the limit at once if the holder has seen a restart or a cold report.
func (sta *state) take(ask Ask, now time.Time) {
	if ask.Incarnation == sta.obs.Incarnation && (!ask.Cold || sta.obs.Cold) {
		return
	}
	obs := sta.obs
	obs.Incarnation = ask.Incarnation
	obs.Cold = ask.Cold || ask.Incarnation != sta.obs.Incarnation
	obs.AsOf = now.Add(-ask.Age)
	// The ask carries no load figures, and those of the last report are older than AsOf.
	obs.Running = math.MaxInt
	sta.observe(obs, now)
}

// slots returns the number of slots that the holder may use from now on.
func (sta *state) slots(holder string, ask Ask, viw view, now time.Time) int {
	hold := max(ask.Hold, ask.Running)
	if hold == 0 && len(ask.Demand) == 0 {
		return 0
	}
	free := sta.free(viw, now)
	if free == 0 {
		return sta.reduced(holder, ask, viw, now)
	}
	won, left := sta.divide(holder, free)
	if !sta.obs.Cold && left > 0 && hold+won-ask.Running < sta.cfg.Spare {
		won += min(left, sta.cfg.Spare-(hold+won-ask.Running))
	}
	return hold + won
}

// reduced takes slots back from a holder when the limit is below what is held, or when another daemon's
// queue has the better claim to the slots that became free at the holder since its last call.
func (sta *state) reduced(holder string, ask Ask, viw view, now time.Time) int {
	hold := max(ask.Hold, ask.Running)
	if !sta.obs.Cold && now.Before(sta.noNewBefore) {
		// The view has not settled since the owner changed, so it says too little to take slots back.
		return hold
	}
	over := sta.held() - sta.bound(viw)
	if sta.obs.Cold {
		over = max(over, sta.held()+sta.orphaned()-sta.limit())
	}
	if over > 0 {
		return max(0, hold-over)
	}
	if sta.queued() > 0 && len(ask.Demand) == 0 {
		// Spare slots are of use elsewhere.
		return ask.Running
	}
	if ask.Finished == 0 || sta.queued() == 0 {
		return hold
	}
	turns := min(ask.Finished, hold)
	won, left := sta.divide(holder, turns)
	return hold - (turns - won - left)
}

// claim is one class of waiting requests.
type claim struct {
	Demand
	holder string
}

// divide gives a number of slots to the queues of all daemons, by priority, then by the workspaces' fair
// shares, then by deadline. It returns how many the holder won and how many nobody wants.
func (sta *state) divide(holder string, slots int) (won, left int) {
	var clms []claim
	for name, hol := range sta.holders {
		for _, dem := range hol.demand {
			if dem.Count > 0 {
				clms = append(clms, claim{
					Demand: dem,
					holder: name,
				})
			}
		}
	}
	turns := make(map[string]float64, len(clms))
	for _, clm := range clms {
		turns[clm.Workspace] = sta.turns[clm.Workspace]
	}
	for ; slots > 0; slots-- {
		best := bestClaim(clms, turns)
		if best < 0 {
			return won, slots
		}
		clm := &clms[best]
		clm.Count--
		turns[clm.Workspace] += 1 / float64(max(1, clm.Share))
		if clm.holder == holder {
			won++
			sta.turns[clm.Workspace] = turns[clm.Workspace]
		}
	}
	sta.ageTurns()
	return won, 0
}

func bestClaim(clms []claim, turns map[string]float64) int {
	best := -1
	for idx, clm := range clms {
		if clm.Count > 0 && (best < 0 || before(clm, clms[best], turns)) {
			best = idx
		}
	}
	return best
}

func before(fst, snd claim, turns map[string]float64) bool {
	if fst.Priority != snd.Priority {
		return fst.Priority > snd.Priority
	}
	if turns[fst.Workspace] != turns[snd.Workspace] {
		return turns[fst.Workspace] < turns[snd.Workspace]
	}
	if fst.Within != snd.Within {
		return fst.Within < snd.Within
	}
	return fst.holder < snd.holder
}

// ageTurns keeps a workspace that was idle from claiming everything that it did not use.
func (sta *state) ageTurns() {
	if len(sta.turns) == 0 {
		return
	}
	vals := make([]float64, 0, len(sta.turns))
	for _, val := range sta.turns {
		vals = append(vals, val)
	}
	sort.Float64s(vals)
	least := vals[len(vals)-1] - maxTurnsBehind
	for name, val := range sta.turns {
		sta.turns[name] = max(val, least)
	}
}

// maxTurnsBehind bounds the claim of a workspace that was idle, in slots for a share of 1.
const maxTurnsBehind = 16
