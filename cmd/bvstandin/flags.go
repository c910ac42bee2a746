package main

import (
	"net/netip"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// addressValue implements pflag.Value for an address of the form ip:port.
type addressValue struct{ address *netip.AddrPort }

func (v addressValue) String() string {
	if v.address == nil || !v.address.IsValid() {
		return ""
	}
	return v.address.String()
}

func (v addressValue) Set(s string) error {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return eris.Wrap(err, "bvstandin: parse an address")
	}
	*v.address = a
	return nil
}

func (addressValue) Type() string { return "ip:port" }

// addAddressFlag adds a required flag of the form ip:port.
func addAddressFlag(c *cobra.Command, a *netip.AddrPort, name, usage string) {
	c.Flags().Var(addressValue{a}, name, usage)
	requireFlags(c, name)
}

// requireFlags marks flags as required.
func requireFlags(c *cobra.Command, names ...string) {
	for _, n := range names {
		if err := c.MarkFlagRequired(n); err != nil {
			panic(err) // The flag does not exist, which is a bug in this program.
		}
	}
}

// addressList parses a comma-separated list of addresses of the form ip:port.
func addressList(s string) ([]netip.AddrPort, error) {
	var l []netip.AddrPort
	for _, text := range strings.Split(s, ",") {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, eris.Wrap(err, "bvstandin: parse an address")
		}
		l = append(l, a)
	}
	return l, nil
}

var _ pflag.Value = addressValue{}
