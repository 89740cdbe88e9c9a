package settings

import "fmt"

// Operator are the settings of the operators' command.
type Operator struct {
	// Name stands in the history of accepted changes.
	Name string `json:"name"`
	// Objects is the base URL of the platform's object API.
	Objects string `json:"objects"`
	// Controllers are the IP:port of controllers' links; any one will do.
	Controllers []string `json:"controllers"`
	// TLS secures the links to controllers.
	TLS TLS `json:"tls"`
	// TimeoutMillis bounds one call, in milliseconds. Default 5000.
	TimeoutMillis int `json:"timeout_ms,omitempty"`
}

// defaultOperatorTimeoutMillis bounds a call of the operators' command.
const defaultOperatorTimeoutMillis = 5000

// Check notes every mistake and sets defaults.
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
