package platform

import (
	"net/http"
	"slices"
	"time"

	"zinniapin/provider"
	"zinniapin/provider/httpapi"
	"zinniapin/target"
	"zinniapin/zone"
)

// usageKey identifies the usage window of an organisation.
type usageKey struct {
	organisation string
	window       time.Time
}

// OrderRecord is an order for targets that the platform received.
type OrderRecord struct {
	ID       string       `json:"id"`
	Fence    uint64       `json:"fence"`
	Zone     zone.Name    `json:"zone"`
	Class    target.Class `json:"class"`
	Pool     string       `json:"pool"`
	Count    int          `json:"count"`
	Release  target.ID    `json:"release,omitempty"`
	Received time.Time    `json:"received"`
	// Repeated is set when an order with this id had been received before.
	Repeated bool `json:"repeated,omitempty"`
	// Superseded is set when an order for the same zone, class and pool with
	// a higher fencing number had been received before.
	Superseded bool `json:"superseded,omitempty"`
}

// ReportRecord is the usage report of one organisation and window that the platform
// received.
type ReportRecord struct {
	Author   string              `json:"author"`
	Fence    uint64              `json:"fence"`
	Received time.Time           `json:"received"`
	Report   httpapi.UsageReport `json:"report"`
	// Repeated is set when the same window was reported before, with the same
	// figures or others.
	Repeated bool `json:"repeated,omitempty"`
	// Differs is set when the same window was reported before with other figures.
	Differs bool `json:"differs,omitempty"`
	// Superseded is set when a report of this window with a higher fencing
	// number had been received before.
	Superseded bool `json:"superseded,omitempty"`
	// Contested is set when another author had reported this window with the same fencing
	// number.
	Contested bool `json:"contested,omitempty"`
}

// Records are the orders and reports that the platform received.
type Records struct {
	Orders  []OrderRecord  `json:"orders"`
	Reports []ReportRecord `json:"reports"`
}

// Records returns a copy of the records.
func (s *Server) Records() Records {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Records{Orders: slices.Clone(s.records.Orders), Reports: slices.Clone(s.records.Reports)}
}

// Violations returns the orders and reports that a correct client never sends: those after
// a higher fencing number, reports that contradict an earlier one, and two authors with
// the same fencing number.
func (r *Records) Violations() Records {
	var found Records
	for _, o := range r.Orders {
		if o.Superseded {
			found.Orders = append(found.Orders, o)
		}
	}
	for _, u := range r.Reports {
		if u.Differs || u.Superseded || u.Contested {
			found.Reports = append(found.Reports, u)
		}
	}
	return found
}

// addOrder records an order. The caller holds the server's lock.
func (r *Records) addOrder(o provider.TargetOrder, repeated bool) {
	superseded := slices.ContainsFunc(r.Orders, func(before OrderRecord) bool {
		return before.Zone == o.Zone && before.Class == o.Class && before.Pool == o.Pool && before.Fence > o.Fence
	})
	r.Orders = append(r.Orders, OrderRecord{
		ID: o.ID, Fence: o.Fence, Zone: o.Zone, Class: o.Class, Pool: o.Pool,
		Count: o.Count, Release: o.Release, Received: time.Now(),
		Repeated: repeated, Superseded: superseded,
	})
}

// postReports answers POST ReportsPath. It accepts all reports of a call or none.
func (s *Server) postReports(w http.ResponseWriter, r *http.Request) {
	var wire httpapi.UsageReports
	if !readBody(w, r, &wire) {
		return
	}
	if !s.storeReports(&wire) {
		reply(w, http.StatusConflict, httpapi.Refusal{Refused: true, Message: "a window was reported with other figures"})
		return
	}
	reply(w, http.StatusOK, struct{}{})
}

// storeReports records the reports of a call. Unless one contradicts an earlier report of
// its window, it stores all of them and returns true.
func (s *Server) storeReports(wire *httpapi.UsageReports) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	consistent := true
	for _, u := range wire.Reports {
		record := s.compareReport(wire, u)
		s.records.Reports = append(s.records.Reports, record)
		consistent = consistent && !record.Differs
	}
	if !consistent {
		return false
	}
	for _, u := range wire.Reports {
		report := u.UsageReport()
		s.usage[usageKey{report.Organisation, report.Window}] = report
	}
	return true
}

// compareReport returns the record of a report, with the results of comparing it to
// earlier reports of its window. The caller holds the lock.
func (s *Server) compareReport(wire *httpapi.UsageReports, u httpapi.UsageReport) ReportRecord {
	report := u.UsageReport()
	record := ReportRecord{Author: wire.Author, Fence: wire.Fence, Received: time.Now(), Report: u}
	for _, before := range s.records.Reports {
		if before.Report.Organisation != u.Organisation || !before.Report.Window.Equal(u.Window) {
			continue
		}
		record.Repeated = true
		record.Differs = record.Differs || before.Report.UsageReport() != report
		record.Superseded = record.Superseded || before.Fence > wire.Fence
		record.Contested = record.Contested || before.Fence == wire.Fence && before.Author != wire.Author
	}
	return record
}

// Usage returns the stored reports, one per organisation and window.
func (s *Server) Usage() []provider.UsageReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := make([]provider.UsageReport, 0, len(s.usage))
	for _, u := range s.usage {
		kept = append(kept, u)
	}
	return kept
}

// showReports answers GET /reports.
func (s *Server) showReports(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, s.Records().Reports)
}
