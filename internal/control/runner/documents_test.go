package runner

import (
	"errors"
	"testing"

	"github.com/twitchtv/twirp"
)

func codeOf(err error) twirp.ErrorCode {
	var twerr twirp.Error
	if !errors.As(err, &twerr) {
		return twirp.NoError
	}
	return twerr.Code()
}

// Guards against documents under way that together take the memory of the VM.
func TestDocumentsUnderWayAreBoundedByBytes(t *testing.T) {
	m := &documentMemory{limit: 100}
	if _, err := m.reserve(101); codeOf(err) != twirp.InvalidArgument {
		t.Errorf("a document over the limit: %v", err)
	}
	first, err := m.reserve(100)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := m.reserve(100); err != nil {
		t.Fatal(err)
	}
	if _, err := m.reserve(1); codeOf(err) != twirp.ResourceExhausted {
		t.Errorf("a third one: %v", err)
	}
	first()
	if _, err := m.reserve(100); err != nil {
		t.Errorf("after an end: %v", err)
	}
}
