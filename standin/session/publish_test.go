package session

import (
	"bytes"
	"context"
	"crypto/rand"

	"github.com/rogpeppe/go-internal/testscript"
	"google.golang.org/protobuf/proto"

	"fescuelanding/fleet"
	"fescuelanding/fleet/config"
	client "fescuelanding/fleet/platform"
	"fescuelanding/fleet/record"
)

const _idSize = 16

// publish appends the change to the configuration of a file, as a writer that
// has read the whole log, and waits for nothing.
func publish(ts *testscript.TestScript, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), _waitLimit)
	defer cancel()
	p := client.New("http://" + ts.Getenv("PLATFORM"))
	var s fleet.State
	b, err := p.Read(ctx, "fleet", 1, 0)
	ts.Check(err)
	for _, r := range b.Records() {
		var v record.Record
		ts.Check(proto.Unmarshal(r.Data(), &v))
		_ = s.Apply(r.Offset(), &v)
	}
	to, err := config.Parse([]byte(ts.ReadFile(args[0])))
	ts.Check(err)
	id := make([]byte, _idSize)
	_, _ = rand.Read(id)
	d, err := proto.Marshal(&record.Record{
		Id: id, Writer: "session", Basis: s.ConfigOffset(),
		Body: &record.Record_ConfigChange{ConfigChange: s.Config().Diff(to)},
	})
	ts.Check(err)
	_, err = p.AppendRecord(ctx, "fleet", b.Head(), d, func(o []byte) bool { return bytes.Equal(o, d) })
	ts.Check(err)
}
