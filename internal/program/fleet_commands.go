// This file implements the fleet commands for operators and prints their answers. They show only what a
// member answers.

package program

import (
	"bytes"
	"cmp"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/user"
	"slices"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"weldmast/internal/config"
	"weldmast/internal/fleet"
	"weldmast/internal/fleetrpc"
)

type fleetCommand struct {
	Status  *fleetStatus        `arg:"subcommand:status" help:"how each member stands to the newest version"`
	Audit   *fleetAudit         `arg:"subcommand:audit" help:"who acted on which version, and what is not known"`
	Publish *fleetPublish       `arg:"subcommand:publish" help:"a version for all members: what of the configuration is to differ (JSON)"`
	ShutOut *fleetMemberCommand `arg:"subcommand:shut-out" help:"a member takes no new work until it is admitted"`
	Admit   *fleetMemberCommand `arg:"subcommand:admit" help:"a member that was shut out or removed is in again"`
	Remove  *fleetMemberCommand `arg:"subcommand:remove" help:"a member is none any longer: nothing waits for it"`
	Voters  *fleetVoters        `arg:"subcommand:voters" help:"who votes; --replace NAME seats one anew that lost its folder"`
}

// fleetFlags holds the flags that all fleet commands share.
type fleetFlags struct {
	At      string `arg:"--at" placeholder:"ADDRESS:PORT" help:"a member's address; else the voters of the operator's file are tried in turn"`
	Fleet   string `arg:"--fleet" placeholder:"NAME" help:"the fleet's name, with --at"`
	File    string `arg:"-f,--file" placeholder:"PATH" help:"the operator's file; WELDMAST_FILE names it as well"`
	JSON    bool   `arg:"--json" help:"print the answer as JSON"`
	Request string `arg:"--request" placeholder:"TEXT" help:"number of the request: the same again, after an answer was lost, is carried out once"`
}

type (
	fleetStatus struct{ fleetFlags }
	fleetAudit  struct {
		fleetFlags
		Version uint64 `arg:"--version" help:"only this one"`
		Since   string `arg:"--since" placeholder:"TIME" help:"only versions published since: 2026-12-01T10:00:00Z, or 15m for a time ago"`
	}
	fleetPublish struct {
		fleetFlags
		Text  string  `arg:"positional,required" placeholder:"FILE" help:"a JSON merge patch over each member's configuration; it may say discovery, mark, settings"`
		Fence bool    `arg:"--fence" help:"tell, once it is true, that nobody acts on an older one"`
		Least string  `arg:"--least" placeholder:"VERSION" help:"least program version that understands it"`
		After *uint64 `arg:"--after" placeholder:"N" help:"refused unless N is the newest version"`
		Wait  bool    `arg:"--wait" help:"wait until all that can be reached have it in force, with --fence until that is complete"`
	}
	fleetMemberCommand struct {
		fleetFlags
		Member string `arg:"positional,required" placeholder:"NAME"`
	}
	fleetVoters struct {
		fleetFlags
		Replace string `arg:"--replace" placeholder:"NAME"`
	}
)

const (
	queryTimeout = 10 * time.Second
	waitTimeout  = 2 * time.Minute
	waitInterval = 200 * time.Millisecond
)

// fleetClient sends requests to members of a fleet.
type fleetClient struct {
	fleetFlags
	client *fleetrpc.Client
	addrs  []string
}

func (a fleetFlags) newClient() (*fleetClient, error) {
	x := &fleetClient{fleetFlags: a, addrs: []string{a.At}}
	name := a.Fleet
	if a.At == "" || name == "" {
		o, err := config.LoadOperatorFile(a.File, os.Getenv)
		if err != nil {
			return nil, err
		}
		if o.Fleet == nil {
			return nil, fmt.Errorf("the operator's file has no [fleet] table: give the file with --file, or give --at and --fleet")
		}
		name = cmp.Or(name, o.Fleet.Name)
		if a.At == "" {
			x.addrs = nil
			for _, v := range o.Fleet.Voters {
				_, addr, _ := strings.Cut(v, " ")
				x.addrs = append(x.addrs, strings.TrimSpace(addr))
			}
		}
	}
	if x.Request == "" {
		var b [8]byte
		if _, err := rand.Read(b[:]); err != nil {
			return nil, fmt.Errorf("fleet: %w", err)
		}
		x.Request = hex.EncodeToString(b[:])
	}
	x.client = fleetrpc.NewClient(name, nil)
	return x, nil
}

// query asks the members in turn until one answers and can reach the leader of the voters. Otherwise it
// returns the last answer received, in which NoLeader is set, and the error of the last member asked if that
// one did not answer.
func (x *fleetClient) query(q fleetrpc.AdminRequest) (a fleetrpc.AdminReply, err error) {
	err = errNoAnswer
	for _, addr := range x.addrs {
		got, e := x.client.Admin(addr, q, queryTimeout)
		if e != nil {
			err = e
			continue
		}
		if a, err = got, nil; !a.NoLeader {
			return a, nil
		}
	}
	return a, err
}

// submit adds a command to the fleet's history.
func (x *fleetClient) submit(c fleet.Command) (fleetrpc.AdminReply, error) {
	c.RequestID, c.IssuedAt = x.Request, float64(time.Now().UnixMicro())/1000
	c.RequestedBy = "unknown"
	if u, err := user.Current(); err == nil {
		c.RequestedBy = u.Username
	}
	a, err := x.query(fleetrpc.AdminRequest{Command: c})
	switch {
	case err != nil:
		return a, fmt.Errorf("%w; it is not known whether the command was accepted: repeating it with --request %s carries it out once", err, x.Request)
	case a.NoLeader:
		return a, fmt.Errorf("no leader of the voters can be reached; it is not known whether the command was accepted: repeating it with --request %s carries it out once", x.Request)
	case a.Error != "":
		return a, fmt.Errorf("%s", a.Error)
	}
	return a, nil
}

func (c *fleetCommand) run(p *arg.Parser, out, errs io.Writer) int {
	err := c.execute(out)
	switch {
	case err == errUsage:
		// cannot fail: the subcommand names come from the parser itself
		_ = p.WriteHelpForSubcommand(errs, p.SubcommandNames()...)
		return exitUsage
	case err != nil:
		for _, line := range config.ErrorLines(err) {
			fmt.Fprintln(errs, "weldmast: "+line)
		}
		return exitFailure
	}
	return 0
}

var errUsage = fmt.Errorf("unknown command")

func (c *fleetCommand) execute(out io.Writer) error {
	memberCommand := func(kind fleet.CommandKind, n *fleetMemberCommand) error {
		x, err := n.newClient()
		if err != nil {
			return err
		}
		a, err := x.submit(fleet.Command{Kind: kind, Member: n.Member})
		if err != nil {
			return err
		}
		return x.print(out, a.Result, fmt.Sprintf("%s: %s, entry %d\n", n.Member, kind, a.Result.EntrySeq))
	}
	switch {
	case c.Status != nil:
		return c.Status.execute(out)
	case c.Audit != nil:
		return c.Audit.execute(out)
	case c.Publish != nil:
		return c.Publish.execute(out)
	case c.ShutOut != nil:
		return memberCommand(fleet.ExcludeMember, c.ShutOut)
	case c.Admit != nil:
		return memberCommand(fleet.AdmitMember, c.Admit)
	case c.Remove != nil:
		return memberCommand(fleet.RemoveMember, c.Remove)
	case c.Voters != nil:
		return c.Voters.execute(out)
	}
	return errUsage
}

// print prints v as JSON if that was requested, otherwise the text.
func (a fleetFlags) print(out io.Writer, v any, text string) error {
	if !a.JSON {
		_, err := io.WriteString(out, text)
		return err
	}
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func (s *fleetStatus) execute(out io.Writer) error {
	x, err := s.newClient()
	if err != nil {
		return err
	}
	a, err := x.query(fleetrpc.AdminRequest{})
	if err != nil {
		return err
	}
	var b bytes.Buffer
	if a.Status == nil {
		fmt.Fprintln(&b, "no leader can be reached; this is what the member itself knows")
		if l := a.Local; l != nil {
			fmt.Fprintf(&b, "%s: version %d in force, %d is the newest it knows; lease %s; takes work: %v; voter: %s\n", l.Member, l.ActiveVersion, l.NewestVersion, formatInterval(l.LeaseRemaining), l.AcceptsWork, cmp.Or(l.VoterStatus, "none"))
		}
		if err := x.print(out, a.Local, b.String()); err != nil {
			return err
		}
		return fmt.Errorf("no leader of the voters can be reached")
	}
	st := a.Status
	fmt.Fprintf(&b, "fleet %s: %d entries, digest %s, newest version %d, led by %s\n", st.Fleet, st.LastSeq, st.Digest, st.NewestVersion, st.Leader)
	switch {
	case st.FencedVersion > 0 && st.FenceCompleteAt > 0:
		fmt.Fprintf(&b, "fence %d: complete since %s; nobody acts on an older version\n", st.FencedVersion, formatTime(st.FenceCompleteAt))
	case st.FencedVersion > 0:
		fmt.Fprintf(&b, "fence %d: not complete\n", st.FencedVersion)
		for _, w := range st.FenceWaits {
			fmt.Fprintf(&b, "  waits for %s: %s%s\n", w.Member, w.Reason, formatRemaining(w.Remaining))
		}
	}
	for _, v := range st.Voters {
		fmt.Fprintf(&b, "voter %s: last contact %s\n", v.Name, formatAgo(v.SinceContact))
	}
	for _, m := range st.Members {
		fmt.Fprintf(&b, "%-12s %-10s version %-4d lease %-8s last contact %-16s %s\n", m.Member, m.State, m.ActiveVersion, formatInterval(m.LeaseRemaining), formatAgo(m.SinceContact), m.Cause)
		for _, more := range []string{withPrefix("waits for a restart: ", m.PendingRestart), withPrefix("voter: ", m.VoterStatus)} {
			if more != "" {
				fmt.Fprintf(&b, "%-12s %s\n", "", more)
			}
		}
	}
	return x.print(out, st, b.String())
}

func withPrefix(prefix, text string) string {
	if text == "" {
		return ""
	}
	return prefix + text
}

func formatInterval(ms float64) string {
	if ms < 0 {
		return "none"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

func formatAgo(ms float64) string {
	if ms < 0 {
		return "never"
	}
	return formatInterval(ms) + " ago"
}

func formatRemaining(ms float64) string {
	if ms < 0 {
		return ""
	}
	return ", ends in " + formatInterval(ms)
}

func formatTime(unixMillis float64) string {
	if unixMillis <= 0 {
		return "-"
	}
	return time.UnixMilli(int64(unixMillis)).UTC().Format("2006-01-02T15:04:05.000Z")
}

func (s *fleetAudit) execute(out io.Writer) error {
	x, err := s.newClient()
	if err != nil {
		return err
	}
	q := fleetrpc.AdminRequest{Audit: true, AuditVersion: s.Version}
	if s.Since != "" {
		if d, err := time.ParseDuration(s.Since); err == nil {
			q.AuditSince = float64(time.Now().Add(-d).UnixMilli())
		} else if t, err := time.Parse(time.RFC3339, s.Since); err == nil {
			q.AuditSince = float64(t.UnixMilli())
		} else {
			return fmt.Errorf("--since: %q is neither a time such as 2026-12-01T10:00:00Z nor a duration such as 15m", s.Since)
		}
	}
	a, err := x.query(q)
	if err != nil {
		return err
	}
	if a.Audit == nil {
		return fmt.Errorf("no leader of the voters can be reached: only the leader has the reports of all members")
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%d entries, digest %s, newest version %d\n", a.Audit.LastSeq, a.Audit.Digest, a.Audit.NewestVersion)
	for _, v := range a.Audit.Versions {
		switch {
		case v.Version == 0:
			fmt.Fprintln(&b, "version 0: each member's own files")
		case v.FenceCompleteAt > 0:
			fmt.Fprintf(&b, "version %d %s: published %s by %s; fence complete %s\n", v.Version, v.TextDigest, formatTime(v.PublishedAt), v.PublishedBy, formatTime(v.FenceCompleteAt))
		default:
			fmt.Fprintf(&b, "version %d %s: published %s by %s%s\n", v.Version, v.TextDigest, formatTime(v.PublishedAt), v.PublishedBy, map[bool]string{true: "; fence not complete"}[v.Fence])
		}
		for _, w := range v.FenceWaits {
			fmt.Fprintf(&b, "  waits for %s: %s%s\n", w.Member, w.Reason, formatRemaining(w.Remaining))
		}
		if v.LastOlderAction > 0 {
			fmt.Fprintf(&b, "  last act on an older one: %s by %s, as far as is known\n", formatTime(v.LastOlderAction), v.LastOlderMember)
		}
		for _, l := range v.Lines {
			fmt.Fprintf(&b, "  %-12s run %.8s in force %s", l.Member, l.RunID, formatTime(l.Actions.ActiveSince))
			for k, t := range l.Actions.Counts {
				if t.Count > 0 {
					fmt.Fprintf(&b, "; %s %d, %s to %s", fleet.Action(k), t.Count, formatTime(t.First), formatTime(t.Last))
				}
			}
			fmt.Fprintf(&b, " (%s)\n", l.Evidence)
		}
	}
	for _, g := range a.Audit.Gaps {
		to := "now"
		if g.Interval.To > 0 {
			to = formatTime(g.Interval.To)
		}
		fmt.Fprintf(&b, "unknown: %s from %s to %s\n", g.Member, formatTime(g.Interval.From), to)
	}
	for _, m := range a.Audit.Members {
		if m.State != fleet.MemberCurrent {
			fmt.Fprintf(&b, "%s: %s, version %d: %s\n", m.Member, m.State, m.ActiveVersion, m.Cause)
		}
	}
	return x.print(out, a.Audit, b.String())
}

func (s *fleetPublish) execute(out io.Writer) error {
	x, err := s.newClient()
	if err != nil {
		return err
	}
	text, err := config.ReadVersion(s.Text)
	if err != nil {
		return err
	}
	c := fleet.Command{Kind: fleet.PublishVersion, Text: text, MinProgram: s.Least, Fence: s.Fence}
	if s.After != nil {
		c.ExpectedNewestPlus1 = *s.After + 1
	}
	a, err := x.submit(c)
	if err != nil {
		return err
	}
	message := fmt.Sprintf("version %d, entry %d%s\n", a.Result.Version, a.Result.EntrySeq, map[bool]string{true: ", as before"}[a.Result.Duplicate])
	if !s.Wait {
		return x.print(out, a.Result, message)
	}
	waitsFor := ""
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(waitInterval) {
		st, err := x.query(fleetrpc.AdminRequest{})
		if err != nil || st.Status == nil {
			waitsFor = "no leader of the voters can be reached"
			continue
		}
		var pending []string
		if s.Fence {
			for _, w := range st.Status.FenceWaits {
				pending = append(pending, w.Member+" ("+w.Reason+")")
			}
		} else {
			for _, m := range st.Status.Members {
				if m.ActiveVersion < a.Result.Version && slices.Contains([]fleet.MemberState{fleet.MemberCurrent, fleet.MemberBehind, fleet.MemberStraggler}, m.State) {
					pending = append(pending, m.Member+" ("+string(m.State)+": "+m.Cause+")")
				}
			}
		}
		if waitsFor = strings.Join(pending, ", "); waitsFor == "" && (!s.Fence || st.Status.FenceCompleteAt > 0) {
			if s.Fence {
				message += fmt.Sprintf("fence complete since %s\n", formatTime(st.Status.FenceCompleteAt))
			} else {
				message += "in force at all members that are in contact\n"
			}
			return x.print(out, a.Result, message)
		}
	}
	return fmt.Errorf("%safter %s it still waits for %s", message, waitTimeout, waitsFor)
}

func (s *fleetVoters) execute(out io.Writer) error {
	x, err := s.newClient()
	if err != nil {
		return err
	}
	if s.Replace != "" {
		a, err := x.submit(fleet.Command{Kind: fleet.AddVoter, Member: s.Replace})
		if err != nil {
			return err
		}
		return x.print(out, a.Result, fmt.Sprintf("%s: voter replaced, entry %d\n", s.Replace, a.Result.EntrySeq))
	}
	a, err := x.query(fleetrpc.AdminRequest{})
	if err != nil {
		return err
	}
	if a.Status == nil {
		return fmt.Errorf("no leader of the voters can be reached")
	}
	var b bytes.Buffer
	for _, v := range a.Status.Voters {
		fmt.Fprintf(&b, "%s: last contact %s\n", v.Name, formatAgo(v.SinceContact))
	}
	return x.print(out, a.Status.Voters, b.String())
}
