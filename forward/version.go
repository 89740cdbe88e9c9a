package forward

import (
	"context"
	"time"

	"zinniapin/result"
	"zinniapin/roster"
)

// StreamVersions records and finds the software versions at which streams began.
type StreamVersions interface {
	// Began records that the first event of a stream is about to be sent to the caller of a request.
	Began(service, request, version string)
	// Origin returns the version at which the stream of a request began, at most age ago. It returns
	// false if that cannot be told. It may ask other hosts.
	Origin(ctx context.Context, service, request string, age time.Duration) (string, bool)
}

// versionUnknownRetryAfter is the Retry-After when no host that answers knows the origin of a
// stream; a host that was cut off may answer by then.
const versionUnknownRetryAfter = 400 * time.Millisecond

// fixOrigin makes a stream that the caller takes up go on at the version that began it. If it
// returns false, it has refused the request, since events of two versions do not fit together.
func (r *request) fixOrigin(ctx context.Context) bool {
	age := time.Duration(r.route.TimeoutMillis) * time.Millisecond
	version, known := r.h.Versions.Origin(ctx, r.service.Name, r.info.Resumes, age)
	if !known {
		r.refuse(result.VersionUnknown, versionUnknownRetryAfter)
		return false
	}
	r.job.Version, r.job.VersionFixed = version, true
	return true
}

// fixVersion makes a stream go on at the version of the target that sent its first event, and
// records that version for a caller that takes the stream up later.
func (r *request) fixVersion(t roster.Target) {
	if r.job.VersionFixed {
		return
	}
	r.job.Version, r.job.VersionFixed = t.Version, true
	if r.route.Resumable {
		r.h.Versions.Began(r.service.Name, r.info.ID, t.Version)
	}
}
