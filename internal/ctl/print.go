package ctl

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// tabPadding is the number of spaces between columns.
const tabPadding = 2

func newTable(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 0, 0, tabPadding, ' ', 0) }

func printStatus(w io.Writer, st *pb.StatusResponse) error {
	fmt.Fprintf(w, "revision %d, view %d, term %d, leader replica %d, role changes %d, open claims %d\n\n",
		st.GetRevision(), st.GetViewVersion(), st.GetTerm(), st.GetLeader(), st.GetRoleChanges(), st.GetOpenClaims())
	if err := printEntries(w, st.GetEntries()); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if err := printServers(w, st.GetServers()); err != nil {
		return err
	}
	for _, q := range st.GetQuarantine() {
		fmt.Fprintf(w, "quarantine: member %s, fingerprint %x, %d deaths\n",
			q.GetMember(), q.GetFingerprint(), q.GetDeaths())
	}
	return nil
}

func printEntries(w io.Writer, entries []*pb.EntryInfo) error {
	t := newTable(w)
	fmt.Fprintln(t, "ENTRY\tDATA CENTRE\tCALLERS\tREVISION\tVIEW\tLOAD\tLEAVING")
	for _, e := range entries {
		id := e.GetIdentity()
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%.1f\t%v\n", id.GetName(), id.GetDataCentre(), id.GetCallerAddress(),
			e.GetRevision(), e.GetViewVersion(), e.GetLoad(), e.GetLeaving())
	}
	return t.Flush()
}

func printServers(w io.Writer, servers []*pb.ServerStatus) error {
	t := newTable(w)
	fmt.Fprintln(t, "BACKEND SERVER\tDATA CENTRE\tSTATE\tROLE\tMODEL\tRUNNING\tDRAINED\tORDER")
	for _, s := range servers {
		b := s.GetServer()
		model := strings.Trim(b.GetModel()+" "+b.GetModelVersion(), " ")
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%v\t%s\n", b.GetId(), b.GetDataCentre(),
			enumText(b.GetState().String(), "SERVER_STATE_"), enumText(b.GetRole().String(), "ENGINE_ROLE_"),
			model, s.GetLoad().GetRunning(), b.GetDrained(), orderText(s.GetUnresolved()))
	}
	return t.Flush()
}

func orderText(o *pb.Order) string {
	if o == nil {
		return "-"
	}
	return fmt.Sprintf("%s %s", o.GetId(), enumText(o.GetState().String(), "ORDER_STATE_"))
}

// enumText returns the name of an enum value in lower case and without its prefix.
func enumText(name, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(name, prefix))
}
