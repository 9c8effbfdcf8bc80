package fleet

import (
	"context"
	"net/http"
	"net/netip"
	"slices"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/standin/link"
)

// Octets of an address 127.<fleet>.<zone>.<number> in a fleet with relays. Entry VMs are numbered from 1.
const (
	// PlatformZone is the third octet of the platform's address; zones are numbered from 1.
	PlatformZone       = 200
	firstEngineNumber  = 100
	firstServiceNumber = 200
)

// sharedIP is the address of all processes that cuts do not affect.
var sharedIP = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// processIP returns the IP address of a process. Without relays all processes share one address.
func (flt *Fleet) processIP(zone, num int) netip.Addr {
	if !flt.config.Links {
		return sharedIP
	}
	return netip.AddrFrom4([4]byte{127, flt.subnet, byte(zone), byte(num)})
}

// openRelay opens a relay in front of an address and returns the relay's address. Without relays it returns the
// address itself.
func (flt *Fleet) openRelay(ctx context.Context, adr string) (string, error) {
	if !flt.config.Links {
		return adr, nil
	}
	target, err := netip.ParseAddrPort(adr)
	if err != nil {
		return "", errors.Trace(err)
	}
	adrs, err := freeAddresses(target.Addr(), 1)
	if err != nil {
		return "", errors.Trace(err)
	}
	err = sendJSON(ctx, http.MethodPut, "http://"+flt.Links.Address+"/relays", link.Relay{
		Listen: netip.MustParseAddrPort(adrs[0]),
		Target: target,
	})
	if err != nil {
		// Another process may have taken the relay's port since freeAddresses checked it, so that another start
		// may succeed.
		return "", errors.Annotate(ErrProcessExited, err.Error())
	}
	return adrs[0], nil
}

// SetCuts replaces all cuts between processes. Without arguments it ends every cut.
func (flt *Fleet) SetCuts(ctx context.Context, cuts ...link.Cut) error {
	return flt.SetFaults(ctx, flt.Links, link.Faults{
		Cuts: cuts,
	})
}

// ZonePrefix returns the IP prefix that contains the processes of an availability zone.
func (flt *Fleet) ZonePrefix(zon string) netip.Prefix {
	return netip.PrefixFrom(flt.processIP(1+slices.Index(flt.config.Zones, zon), 0), 24)
}

// PlatformPrefix returns the IP prefix that contains the platform.
func (flt *Fleet) PlatformPrefix() netip.Prefix {
	return netip.PrefixFrom(flt.processIP(PlatformZone, 0), 24)
}

// IsolationCuts returns cuts that separate an availability zone from the platform and all other zones.
func (flt *Fleet) IsolationCuts(zon string, kind link.Kind) []link.Cut {
	own := flt.ZonePrefix(zon)
	cuts := []link.Cut{{
		From: own,
		To:   flt.PlatformPrefix(),
		Kind: kind,
	}}
	for _, other := range flt.config.Zones {
		if other != zon {
			cuts = append(cuts, link.Cut{
				From: own,
				To:   flt.ZonePrefix(other),
				Kind: kind,
			})
		}
	}
	return cuts
}
