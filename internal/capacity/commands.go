package capacity

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/consensus"
	codec "auburnstep.example/auburnstep/internal/consensus/wire"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/settings"
)

// CommandSizes adds rows with the encoded sizes of typical commands: the size as an
// entry of the replicated log, and the size of the consensus message between
// control members that carries this one entry.
func CommandSizes(rows Rows) error {
	uuid := strings.Repeat("0b5cfa0e-", 4)
	key := &controlv1.BookingKey{Customer: firstCustomerPath, Key: uuid}
	for _, example := range []struct {
		name    string
		command *controlv1.Command
	}{
		{"change of one value", &controlv1.Command{Command: &controlv1.Command_Change{Change: &controlv1.Change{
			ChangeId: uuid, BaseVersion: 870_000, Actor: "operator@example", Clock: "1796364729662.1",
			Operations: []*controlv1.Operation{setKey(firstCustomerPath, settings.KeyWeight, "4")}}}}},
		{"begin of a booking", &controlv1.Command{Command: &controlv1.Command_Begin{Begin: &controlv1.BeginBooking{
			Key: key, BodyHash: make([]byte, 32), AttemptId: uuid, AtMs: 1796364729662}}}},
		{"finish of a booking with 1 KiB", &controlv1.Command{Command: &controlv1.Command_Finish{Finish: &controlv1.FinishBooking{
			Key: key, AttemptId: uuid, Outcome: &controlv1.BookingOutcome{Status: 201, ContentType: "application/json", Body: make([]byte, 1024)}}}}},
		{"assignment of a group", &controlv1.Command{Command: &controlv1.Command_Assign{Assign: &controlv1.AssignGroup{
			Group: "auburn-pool/12", Instance: entryInstance, Address: "10.101.17.27:8081"}}}},
	} {
		data, err := proto.Marshal(example.command)
		if err != nil {
			return Error.Wrap(err)
		}
		message := codec.FromMessage(consensus.Message{Entries: []consensus.Entry{{Index: 1 << 30, Term: 100, Data: data}}})
		rows.Add("command, "+example.name+": log entry", 1, float64(len(data)), "B")
		rows.Add("command, "+example.name+": message between members", 1, float64(proto.Size(message)), "B")
	}
	return nil
}
