// Package zone defines regions and their availability zones.
package zone

// Region is the name of a region.
type Region string

// Name is the name of an availability zone. It is unique across regions.
type Name string

// Zone is an availability zone and its region.
type Zone struct {
	// Name is unique across regions.
	Name Name `json:"name"`
	// Region is the region that the zone belongs to.
	Region Region `json:"region"`
}

// Distance orders pairs of zones by how far apart they are.
type Distance int

// Distances, from nearest to farthest.
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
