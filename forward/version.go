package forward

import (
	"context"
	"time"

	"zinniapin/dispatch"
	"zinniapin/result"
	"zinniapin/roster"
)

// StreamVersions records and finds the software versions at which streams began.
type StreamVersions interface {
	// Began records that the first event of a stream is about to be sent to the caller of a request. The
	// stream may be taken up until it is of the given age. The first stream of a version may wait for the store.
	Began(ctx context.Context, service, request string, o StreamOrigin, age time.Duration)
	// Origin returns where the stream of a request began, at most age ago. It returns
	// false if its version cannot be told. It may ask other hosts and the store.
	Origin(ctx context.Context, service, request string, age time.Duration) (StreamOrigin, bool)
	// Ended records that a stream was sent whole to the caller of a request, under the id of the request that began it.
	Ended(request string)
	// Stands tells whether nothing contradicts the version that was recorded for the stream of a request.
	Stands(request string) bool
}

// StreamOrigin is where a stream began.
type StreamOrigin struct {
	Version string // of the target's software
	Target  uint32 // as by dispatch.KeyOf; 0 if unknown
}

// versionUnknownRetryAfter is the Retry-After when no host that answers knows the origin of a
// stream; a host that was cut off may answer by then.
const versionUnknownRetryAfter = 400 * time.Millisecond

// fixOrigin makes a stream that the caller takes up go on at the version that began it. If it
// returns false, it has refused the request, since events of two versions do not fit together.
func (r *request) fixOrigin(ctx context.Context) bool {
	origin, known := r.h.Versions.Origin(ctx, r.service.Name, r.info.Resumes, r.streamAge())
	if !known {
		r.refuse(result.VersionUnknown, versionUnknownRetryAfter)
		return false
	}
	r.job.Version, r.job.VersionFixed = origin.Version, true
	r.h.withPlanner(func(p *dispatch.Planner) { p.MarkProcessed(time.Now(), origin.Target, r.info.PromptParts) })
	return true
}

// fixVersion makes a stream go on at the version of the target that sent its first event, and
// records that version for a caller that takes the stream up later.
func (r *request) fixVersion(ctx context.Context, t roster.Target) {
	if r.job.VersionFixed {
		return
	}
	r.job.Version, r.job.VersionFixed = t.Version, true
	if r.route.Resumable {
		r.h.Versions.Began(ctx, r.service.Name, r.info.ID, StreamOrigin{t.Version, dispatch.KeyOf(t.ID)}, r.streamAge())
	}
}

// maxStreamAge is the age up to which streams of a route without a timeout may be taken up. It bounds the age that callers'
// deadlines can ask for.
const maxStreamAge = time.Minute

// streamAge returns the age up to which streams of the route may be taken up: until the time that the
// route allows is over, or that for which callers have said that they wait.
func (r *request) streamAge() time.Duration {
	if r.route.TimeoutMillis <= 0 {
		return maxStreamAge
	}
	return max(time.Duration(r.route.TimeoutMillis)*time.Millisecond, min(r.h.longestDeadline(r.route.Name), maxStreamAge))
}

// originStands tells whether the stream may still go on at the version that it has.
func (r *request) originStands() bool { return r.h.Versions.Stands(r.streamRequest()) }

// streamRequest returns the id of the request that began the stream.
func (r *request) streamRequest() string {
	if r.info.LastEventID != "" {
		return r.info.Resumes
	}
	return r.info.ID
}
