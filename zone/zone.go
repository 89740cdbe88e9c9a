// Package zone names the places of the fleet: regions and their availability
// zones.
package zone

// Region is the name of a region.
type Region string

// Name is the name of an availability zone, unique over all regions.
type Name string

// Zone is an availability zone and the region that it lies in.
type Zone struct {
	// Name is unique over all regions.
	Name Name `json:"name"`
	// Region is the region of the zone.
	Region Region `json:"region"`
}

// Distance ranks how far apart two zones are.
type Distance int

// Distances, nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Between returns the distance between two zones.
func Between(a, b Zone) Distance {
	if a.Name == b.Name {
		return SameZone
	}
	if a.Region == b.Region {
		return SameRegion
	}
	return OtherRegion
}
