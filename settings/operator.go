package settings

import "fmt"

// Operator holds the settings of the operators' command, zinniactl.
type Operator struct {
	// Name is the operator's name in the history of accepted changes.
	Name string `json:"name"`
	// Objects is the base URL of the platform's object API.
	Objects string `json:"objects"`
	// Controllers are the IP:port at which controllers accept links; one that
	// answers is enough.
	Controllers []string `json:"controllers"`
	// TLS secures the links to controllers.
	TLS TLS `json:"tls"`
	// TimeoutMillis bounds one call, in milliseconds. Default 5000.
	TimeoutMillis int `json:"timeout_ms,omitempty"`
}

// defaultOperatorTimeoutMillis is the default of TimeoutMillis.
const defaultOperatorTimeoutMillis = 5000

// Check records every mistake in the settings and sets the defaults.
func (o *Operator) Check(p *Problems) {
	p.Required("name", o.Name)
	p.URL("objects", o.Objects)
	if len(o.Controllers) == 0 {
		p.Add("controllers", "there must be at least one")
	}
	for i, address := range o.Controllers {
		p.Address(fmt.Sprintf("controllers[%d]", i), address)
	}
	o.TLS.check(p)
	if o.TimeoutMillis == 0 {
		o.TimeoutMillis = defaultOperatorTimeoutMillis
	}
	if o.TimeoutMillis < 0 {
		p.Add("timeout_ms", "must be above 0")
	}
}
