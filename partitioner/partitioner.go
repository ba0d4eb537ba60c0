package partitioner

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	pv "persimmonvalve"
	"persimmonvalve/sharer"
)

// Layout is the site's fixed division into streams, from settings. A key's
// home depends on Homes alone and so never moves when workers, racks or cells
// change.
type Layout struct {
	Homes        int      // partitions of keys
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

// CellOf returns the cell stream of a worker: whole racks go to one cell.
func (l Layout) CellOf(w pv.WorkerInfo) pv.StreamName {
	return cellName(w.Place.Zone, int(xxhash.Sum64String(w.Place.Rack)%uint64(l.CellsPerZone)))
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

// ZoneOf returns the availability zone of a cell stream, empty for a home.
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

// Rank returns the place of a member among the candidates for a stream, 0
// first; members of the stream's own zone go before others. It returns -1 if
// the member isn't among them.
func (l Layout) Rank(stream pv.StreamName, members []pv.Member, name string) int {
	zone := l.ZoneOf(stream)
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b pv.Member) int {
		awayA, awayB := away(zone, a), away(zone, b)
		if awayA != awayB {
			return cmp.Compare(awayA, awayB)
		}
		if c := cmp.Compare(score(stream, b.Name), score(stream, a.Name)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return slices.IndexFunc(sorted, func(m pv.Member) bool { return m.Name == name })
}

func away(zone string, m pv.Member) int {
	if zone != "" && m.Place.Zone != zone {
		return 1
	}
	return 0
}

func score(stream pv.StreamName, name string) uint64 {
	return xxhash.Sum64String(string(stream) + "|" + name)
}

// tasksPerPart is how many tasks of a plan its part of the ceiling should hold
// at least, before it is spread over one more cell.
const tasksPerPart = 4

// PlanCells returns the cells in which a plan's tasks run, in a fixed order.
// The plan's ceiling is divided among them, so that a cell decides alone and
// the parts never sum to more than the whole.
func (l Layout) PlanCells(p pv.Plan, a pv.Allowance) []pv.StreamName {
	cells := l.CellStreams()
	slices.SortFunc(cells, func(x, y pv.StreamName) int {
		if c := cmp.Compare(score(y, p.Name), score(x, p.Name)); c != 0 {
			return c
		}
		return cmp.Compare(x, y)
	})
	return cells[:partCount(p.Size, a.Ceiling, len(cells))]
}

func partCount(size, ceiling pv.Resources, cells int) int {
	parts := int64(cells)
	for _, pair := range [...][2]int64{
		{size.MilliCores, ceiling.MilliCores},
		{size.MemoryMB, ceiling.MemoryMB},
		{size.Accelerators, ceiling.Accelerators},
		{size.Slots, ceiling.Slots},
	} {
		if pair[0] > 0 {
			parts = min(parts, pair[1]/(pair[0]*tasksPerPart))
		}
	}
	return int(max(parts, 1))
}

// Part returns a cell's part of a plan's allowance, false if the plan's tasks
// don't run there.
func (l Layout) Part(p pv.Plan, a pv.Allowance, cell pv.StreamName) (pv.Allowance, bool) {
	cells := l.PlanCells(p, a)
	i := slices.Index(cells, cell)
	if i < 0 {
		return pv.Allowance{}, false
	}
	a.Guaranteed = sharer.Divide(a.Guaranteed, len(cells), i)
	a.Ceiling = sharer.Divide(a.Ceiling, len(cells), i)
	return a, true
}
