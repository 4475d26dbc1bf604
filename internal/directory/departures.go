package directory

import (
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
)

// departures remembers the endpoints that are draining or have left, as an entry learned
// it from any member. A member that restarts has forgotten them, and the others may know
// only earlier announcements, so that without this memory the endpoint would come back.
type departures map[string]departure

type departure struct {
	endpoint *directoryv1.Endpoint
	seenAt   time.Time
}

// update records what the views say about departures and forgets those that no view has
// mentioned for recordRetention.
func (d departures) update(now time.Time, views []*view) {
	maps.DeleteFunc(d, func(_ string, known departure) bool { return now.Sub(known.seenAt) > recordRetention })
	for _, v := range views {
		for id, e := range v.endpoints {
			if !e.Gone && !e.Draining {
				continue
			}
			known, ok := d[id]
			if e.Incarnation == 0 {
				// The member does not know which incarnation left: the one that is known when
				// it is first heard of. A later one may start while the member still says so.
				latest := latestIncarnation(views, id)
				if ok || latest == 0 {
					continue
				}
				e = proto.CloneOf(e)
				e.Incarnation = latest
			} else if ok {
				e = resolve(known.endpoint, e)
			}
			d[id] = departure{e, now}
		}
	}
}

// latestIncarnation returns the highest incarnation of an endpoint in the views.
func latestIncarnation(views []*view, id string) (latest int64) {
	for _, v := range views {
		latest = max(latest, v.endpoints[id].GetIncarnation())
	}
	return latest
}

// view returns the departures as if a member had reported them.
func (d departures) view() *view {
	v := &view{endpoints: make(map[string]*directoryv1.Endpoint, len(d))}
	for id, known := range d {
		v.endpoints[id] = known.endpoint
	}
	return v
}
