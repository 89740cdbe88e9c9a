package target

import (
	"errors"
	"net/netip"
)

// broadcast is the address of all hosts of a network.
var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// CheckAddress returns what is wrong with a target's address, which must be IP:port of one host.
func CheckAddress(address string) error {
	at, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return errors.New("is not IP:port")
	case at.Port() == 0:
		return errors.New("has no port")
	case at.Addr().IsUnspecified() || at.Addr().IsMulticast() || at.Addr().Unmap() == broadcast:
		return errors.New("is not that of one host")
	default:
		return nil
	}
}
