package platform

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"

	"zinniapin/provider"
	"zinniapin/provider/httpapi"
	"zinniapin/target"
)

// postOrder answers POST OrdersPath.
func (s *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	var wire httpapi.TargetOrder
	if !readBody(w, r, &wire) {
		return
	}
	result := s.Order(provider.TargetOrder(wire))
	reply(w, http.StatusOK, httpapi.TargetOrderResult(result))
}

// Order carries out an order for targets. An order with a known id has no effect and gets
// the earlier result.
func (s *Server) Order(o provider.TargetOrder) provider.TargetOrderResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	earlier, repeated := s.orders[o.ID]
	s.records.addOrder(o, repeated)
	if repeated {
		return earlier
	}
	var result provider.TargetOrderResult
	if o.Count < 0 {
		result = s.release(o)
	} else {
		result = s.buy(o)
	}
	s.orders[o.ID] = result
	return result
}

// release takes back the target that an order releases. The caller holds the lock.
func (s *Server) release(o provider.TargetOrder) provider.TargetOrderResult {
	hosts := s.hosts.current()
	i := slices.IndexFunc(hosts, func(h provider.Host) bool {
		return h.Target != nil && h.Target.ID == o.Release && h.State != provider.Gone
	})
	if i < 0 {
		return provider.TargetOrderResult{Reason: "no such target"}
	}
	if hosts[i].Target.Class == target.Reserved {
		return provider.TargetOrderResult{Reason: "reserved targets cannot be released"}
	}
	s.takeAway(hosts[i], time.Now(), 0)
	return provider.TargetOrderResult{Accepted: 1}
}

// buy sells targets and starts them after the provision delay. The caller holds the lock.
func (s *Server) buy(o provider.TargetOrder) provider.TargetOrderResult {
	scarce := s.faults.Scarce && (s.faults.Class == "" || s.faults.Class == o.Class)
	if scarce || s.options.Provider == nil {
		return provider.TargetOrderResult{Reason: "no targets are available"}
	}
	if o.Class == target.Reserved {
		return provider.TargetOrderResult{Reason: "reserved targets cannot be bought"}
	}
	for range o.Count {
		s.bought++
		id := target.ID(fmt.Sprintf("%s-%s-%d", o.Pool, o.Class, s.bought))
		s.timers = append(s.timers, time.AfterFunc(s.options.ProvisionDelay, func() { s.startBought(id, o) }))
	}
	return provider.TargetOrderResult{Accepted: o.Count}
}

// startBought starts one bought target and lists its host.
func (s *Server) startBought(id target.ID, o provider.TargetOrder) {
	address, err := s.options.Provider.Start(id, o)
	if err != nil {
		return
	}
	s.AddHost(provider.Host{
		ID:    "host-" + string(id),
		State: provider.Live,
		Zone:  o.Zone,
		Target: &target.Target{
			ID: id, Kind: target.Engine, Class: o.Class, Pool: o.Pool,
			Zone: o.Zone, Address: address,
			ChecksFence: s.options.Provider.ChecksFence(),
		},
	})
}

// getOrder answers GET OrdersPath/{id} with the result of an order.
func (s *Server) getOrder(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	result, ok := s.orders[mux.Vars(r)["id"]]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, httpapi.TargetOrderResult(result))
}

// showOrders answers GET /orders.
func (s *Server) showOrders(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, s.Records().Orders)
}
