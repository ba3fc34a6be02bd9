package testbed

import (
	"context"
	"encoding/json"
)

// status holds the fields read from "goldcrestctl status --output json".
type status struct {
	Leader      uint64 `json:"leader,string"`
	RoleChanges uint64 `json:"role_changes,string"`
}

// Leader returns the process of the leading control replica. Errors: Failed.
func (b *Bed) Leader(ctx context.Context) (*Process, error) {
	s, err := b.status(ctx)
	if err != nil {
		return nil, err
	}
	if s.Leader == 0 || s.Leader > uint64(len(b.Control)) {
		return nil, Failed.New("the leader is replica %d, which is not in the test bed", s.Leader)
	}
	return b.Control[s.Leader-1], nil
}

func (b *Bed) status(ctx context.Context) (*status, error) {
	out, err := b.RunCtl(ctx, "status", "--output", "json")
	if err != nil {
		return nil, err
	}
	s := &status{}
	if err := json.Unmarshal([]byte(out), s); err != nil {
		return nil, Failed.Wrap(err, "status: %s", out)
	}
	return s, nil
}

// ChangeRole requests a role for an engine from control, as an operator would.
// Errors: Failed.
func (b *Bed) ChangeRole(ctx context.Context, engine, role string) error {
	_, err := b.RunCtl(ctx, "roles", engine, role)
	return err
}
