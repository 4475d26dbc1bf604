package lint

import (
	"fmt"
	"reflect"
	"strings"

	"auburnstep.example/auburnstep/internal/routing"
)

// Change is a difference between two tables.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Path is the entry, such as routes/NAME.
	Path string `json:"path"`
	// Fields are the JSON names of the fields that differ. Values are left out, since keys of
	// customers are among them.
	Fields []string `json:"fields,omitempty"`
}

// ChangeKind is how an entry differs.
type ChangeKind string

// Values of ChangeKind.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// String returns the change as one line.
func (c Change) String() string {
	sign := map[ChangeKind]string{Added: "+", Removed: "-", Changed: "~"}[c.Kind]
	return strings.TrimSpace(sign + " " + c.Path + " " + strings.Join(c.Fields, ", "))
}

// Diff returns what differs between the table in force and the next one. Entries are the same
// if they have the same name; of entries with one name, the first are compared, and so on.
func Diff(inForce, next *routing.Table) (changes []Change) {
	changes = append(changes, diffList("routes", inForce.Routes, next.Routes, func(r routing.Route) string { return r.Name })...)
	changes = append(changes, diffList("services", inForce.Services, next.Services, func(s routing.Service) string { return s.Name })...)
	changes = append(changes, diffList("customers", inForce.Customers, next.Customers, func(c routing.Customer) string { return c.Name })...)
	if fields := changedFields(inForce.Limits, next.Limits); len(fields) > 0 {
		changes = append(changes, Change{Changed, "limits", fields})
	}
	if inForce.KeyRequired != next.KeyRequired {
		changes = append(changes, Change{Changed, "keyed", nil})
	}
	return changes
}

func diffList[T any](list string, inForce, next []T, name func(T) string) (changes []Change) {
	keyed := func(entries []T) (order []string, byKey map[string]T) {
		byKey = make(map[string]T, len(entries))
		count := make(map[string]int)
		for _, e := range entries {
			key := list + "/" + name(e)
			if count[key]++; count[key] > 1 {
				key = fmt.Sprintf("%s (%d)", key, count[key])
			}
			order, byKey[key] = append(order, key), e
		}
		return order, byKey
	}
	oldOrder, old := keyed(inForce)
	nextOrder, now := keyed(next)
	for _, key := range oldOrder {
		if _, ok := now[key]; !ok {
			changes = append(changes, Change{Removed, key, nil})
		}
	}
	for _, key := range nextOrder {
		before, ok := old[key]
		if !ok {
			changes = append(changes, Change{Added, key, nil})
		} else if fields := changedFields(before, now[key]); len(fields) > 0 {
			changes = append(changes, Change{Changed, key, fields})
		}
	}
	return changes
}

// changedFields returns the JSON names of the fields of two structs that differ.
func changedFields(a, b any) (names []string) {
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			name, _, _ := strings.Cut(x.Type().Field(i).Tag.Get("json"), ",")
			names = append(names, name)
		}
	}
	return names
}
