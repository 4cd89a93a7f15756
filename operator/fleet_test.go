package operator_test

import (
	"bytes"
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"fescuelanding/fleet/config"
	"fescuelanding/operator"
)

func TestDeploymentsPrintGolden(t *testing.T) {
	for name, f := range map[string]*operator.Fleet{"association": association(), "paddockpick": paddockpick()} {
		t.Run(name, func(t *testing.T) {
			var b bytes.Buffer
			assert.NilError(t, f.Print(&b))
			golden.Assert(t, b.String(), name+".ini")
			c, err := config.Parse(b.Bytes())
			assert.NilError(t, err)
			assert.Equal(t, string(c.Text()), b.String())
		})
	}
}

func TestDeclarationOrderDoesNotAffectText(t *testing.T) {
	var a, b operator.Fleet
	a.Pool("x")
	a.Pool("y")
	b.Pool("y")
	b.Pool("x")
	at, err := a.Text()
	assert.NilError(t, err)
	bt, err := b.Text()
	assert.NilError(t, err)
	assert.Equal(t, string(at), string(bt))
}

func TestInvalidPrintsNothing(t *testing.T) {
	var f operator.Fleet
	f.Pool("fitting")
	f.Pool("fitting")
	f.Service("sizeCheck", operator.Pool{}, operator.Class{})
	var b bytes.Buffer
	err := f.Print(&b)
	assert.ErrorIs(t, err, config.ErrDuplicate)
	assert.ErrorIs(t, err, config.ErrValue)
	assert.Equal(t, b.Len(), 0)
	var e *config.Invalid
	assert.Assert(t, errors.As(err, &e))
}

var errWrite = errors.New("write failed")

// failingWriter is a writer that always fails with errWrite.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errWrite }

func TestPrintReturnsWriteErrors(t *testing.T) {
	assert.ErrorIs(t, association().Print(failingWriter{}), errWrite)
}
