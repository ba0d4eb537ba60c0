package partitioner

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	pv "persimmonvalve"
	"persimmonvalve/sharer"
)

// Layout is the site's fixed division into streams, from the settings, which
// must be the same in all processes. The home of a key depends on Homes only and
// therefore doesn't change with workers, racks or cells.
type Layout struct {
	Homes        int      // number of home streams (partitions of keys)
	Zones        []string // availability zones
	CellsPerZone int
}

// HomeOf returns the home stream of a key.
func (l Layout) HomeOf(key string) pv.StreamName {
	return homeName(int(xxhash.Sum64String(key) % uint64(l.Homes)))
}

func homeName(i int) pv.StreamName { return pv.StreamName(fmt.Sprintf("home/%d", i)) }

// HomeStreams returns the names of all home streams.
func (l Layout) HomeStreams() []pv.StreamName {
	names := make([]pv.StreamName, l.Homes)
	for i := range names {
		names[i] = homeName(i)
	}
	return names
}

// IsHome reports whether a stream is a home.
func (l Layout) IsHome(stream pv.StreamName) bool {
	return slices.Contains(l.HomeStreams(), stream)
}

// CellOf returns the cell stream of a worker. All workers of a rack belong to
// the same cell.
func (l Layout) CellOf(w pv.WorkerInfo) pv.StreamName {
	return cellName(w.Location.Zone, int(xxhash.Sum64String(w.Location.Rack)%uint64(l.CellsPerZone)))
}

func cellName(zone string, i int) pv.StreamName {
	return pv.StreamName(fmt.Sprintf("cell/%s/%d", zone, i))
}

// CellStreams returns the names of all cell streams.
func (l Layout) CellStreams() []pv.StreamName {
	var names []pv.StreamName
	for _, z := range l.Zones {
		for i := range l.CellsPerZone {
			names = append(names, cellName(z, i))
		}
	}
	return names
}

// ZoneOf returns the availability zone of a cell stream, "" for a home.
func (l Layout) ZoneOf(stream pv.StreamName) string {
	for _, z := range l.Zones {
		for i := range l.CellsPerZone {
			if stream == cellName(z, i) {
				return z
			}
		}
	}
	return ""
}

// Rank returns the position of a member among the candidates for a stream, 0
// first, by rendezvous hashing; members in the stream's zone come before others.
// It returns -1 if the member isn't in the list.
func (l Layout) Rank(stream pv.StreamName, members []pv.Member, name string) int {
	zone := l.ZoneOf(stream)
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b pv.Member) int {
		mismatchA, mismatchB := zoneMismatch(zone, a), zoneMismatch(zone, b)
		if mismatchA != mismatchB {
			return cmp.Compare(mismatchA, mismatchB)
		}
		if c := cmp.Compare(rendezvousScore(stream, b.Name), rendezvousScore(stream, a.Name)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return slices.IndexFunc(sorted, func(m pv.Member) bool { return m.Name == name })
}

// zoneMismatch returns 1 if the member isn't in the zone, else 0; it returns 0 if
// there is no zone.
func zoneMismatch(zone string, m pv.Member) int {
	if zone != "" && m.Location.Zone != zone {
		return 1
	}
	return 0
}

// rendezvousScore returns the score of a member or plan for a stream.
func rendezvousScore(stream pv.StreamName, name string) uint64 {
	return xxhash.Sum64String(string(stream) + "|" + name)
}

// minTasksPerPart limits the number of cells of a plan: its ceiling is divided among
// more cells only while each part has room for at least this number of its tasks. A
// ceiling that is too small for two such parts stays whole in one cell.
const minTasksPerPart = 4

// PlanCells returns the cells in which a plan's tasks run, in a fixed order. The
// plan's ceiling is divided among them, so that each cell can decide on its own
// and the parts never exceed the ceiling together.
func (l Layout) PlanCells(p pv.Plan, a pv.Allowance) []pv.StreamName {
	cells := l.CellStreams()
	slices.SortFunc(cells, func(x, y pv.StreamName) int {
		if c := cmp.Compare(rendezvousScore(y, p.Name), rendezvousScore(x, p.Name)); c != 0 {
			return c
		}
		return cmp.Compare(x, y)
	})
	return cells[:partCount(p.Size, a.Ceiling, len(cells))]
}

func partCount(size, ceiling pv.Resources, cells int) int {
	parts := int64(cells)
	for _, dimension := range [...][2]int64{
		{size.MilliCores, ceiling.MilliCores},
		{size.MemoryMB, ceiling.MemoryMB},
		{size.Accelerators, ceiling.Accelerators},
		{size.Slots, ceiling.Slots},
	} {
		if dimension[0] > 0 {
			parts = min(parts, dimension[1]/(dimension[0]*minTasksPerPart))
		}
	}
	return int(max(parts, 1))
}

// CellAllowance returns a cell's part of a plan's allowance, and false if the plan's
// tasks don't run in that cell.
func (l Layout) CellAllowance(p pv.Plan, a pv.Allowance, cell pv.StreamName) (pv.Allowance, bool) {
	cells := l.PlanCells(p, a)
	i := slices.Index(cells, cell)
	if i < 0 {
		return pv.Allowance{}, false
	}
	a.Guaranteed = sharer.Divide(a.Guaranteed, len(cells), i)
	a.Ceiling = sharer.Divide(a.Ceiling, len(cells), i)
	return a, true
}
