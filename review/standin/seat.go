package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["seat"] = playSeat }

// council is a fleet of three voters.
type council struct {
	e      *env
	name   string
	file   string
	folder string
	voters [3]*voter
}

type voter struct {
	name, listen, config, discovery string
	p                               *proc
}

func newCouncil(e *env, name string) *council {
	c := &council{e: e, name: name, folder: filepath.Join(e.dir, name)}
	var seats []string
	for k := range c.voters {
		v := &voter{name: fmt.Sprintf("n%d", k), listen: e.freeAddr()}
		c.voters[k] = v
		seats = append(seats, fmt.Sprintf("%q", v.name+" "+e.freeAddr()))
		w := e.startWorker("s-"+v.name, v.listen)
		v.discovery = e.startDiscovery(member(w.id, w.addr)).addr
		v.config = e.writeJSON(name+"-"+v.name+".json", object{"name": v.name, "listen": v.listen, "discovery": v.discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
			"mark": "summer", "limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": suvaSettings()})
	}
	c.file = e.writeFile(name+".toml", []byte(fmt.Sprintf("[fleet]\nname = %q\nvoters = [%s]\nfolder = %q\n", name, strings.Join(seats, ", "), c.folder)))
	return c
}

func (c *council) start(k int) {
	v := c.voters[k]
	v.p = c.e.spawn(c.name+"-"+v.name, c.e.deployRun()+"-voter", "ROUTER_NAME="+v.name, "ROUTER_LISTEN="+v.listen, "ROUTER_DISCOVERY="+v.discovery,
		"ROUTER_CONFIG="+v.config, "WELDMAST_FILE="+c.file)
}

func (c *council) kill(k int) {
	c.e.signal(c.voters[k].p, syscall.SIGKILL)
	<-c.voters[k].p.done
}

func (c *council) command(args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	x := exec.CommandContext(ctx, filepath.Join(c.e.root, "bin", "weldmast"), append(append([]string{"fleet"}, args...), "--file", c.file)...)
	var out, errs bytes.Buffer
	x.Stdout, x.Stderr = &out, &errs
	err := x.Run()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, strings.TrimSpace(errs.String()))
	}
	return strings.TrimSpace(out.String()), err
}

// status asks until a leader answers, and returns the newest version that the council knows.
func (c *council) status(within time.Duration) (newest int, leader string, ok bool) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		out, err := c.command("status", "--json")
		var s struct {
			Newest int    `json:"newest"`
			Leader string `json:"leader"`
		}
		if err == nil && json.Unmarshal([]byte(out), &s) == nil && s.Leader != "" {
			return s.Newest, s.Leader, true
		}
	}
	return 0, "", false
}

// playSeat plays sixteen councils side by side, as who is elected is drawn anew in each. In each the voters are started,
// n2 a second after the others. n1 goes down; a version is published and answered. Then the two others go down as well, n2
// loses its folder, and all three are started again.
func playSeat(e *env) int {
	const fleets = 16
	var all []*council
	for k := range fleets {
		all = append(all, newCouncil(e, fmt.Sprintf("kitchen%d", k)))
	}
	for _, c := range all {
		c.start(0)
		c.start(1)
	}
	time.Sleep(time.Second)
	for _, c := range all {
		c.start(2)
	}
	for _, c := range all {
		if _, leader, ok := c.status(15 * time.Second); !ok {
			e.fatal("%s has no leader", c.name)
		} else {
			e.say("%s: led by %s", c.name, leader)
		}
	}
	time.Sleep(2 * time.Second)
	for _, c := range all {
		c.kill(1)
	}
	first := e.writeJSON("first.json", object{"mark": "autumn"})
	for _, c := range all {
		if _, _, ok := c.status(10 * time.Second); !ok {
			e.fatal("%s has no leader after n1 is down", c.name)
		}
		out, err := c.command("publish", first)
		if err != nil || !strings.HasPrefix(out, "version 1,") {
			e.fatal("%s: publish: %q, %v", c.name, out, err)
		}
		e.say("%s: the operator published mark autumn and was answered %q", c.name, out)
	}
	time.Sleep(time.Second)
	for _, c := range all {
		c.kill(0)
		c.kill(2)
		if e.trouble {
			if err := os.RemoveAll(filepath.Join(c.folder, "n2")); err != nil {
				e.fatal("%v", err)
			}
			e.say("%s: the folder of n2 is lost", c.name)
		}
		for k := range c.voters {
			c.start(k)
		}
	}
	lost, unknown := 0, 0
	second := e.writeJSON("second.json", object{"mark": "winter"})
	for _, c := range all {
		newest, leader, ok := c.status(15 * time.Second)
		switch {
		case !ok:
			unknown++
			e.say("%s: no leader within 15 s", c.name)
			continue
		case newest >= 1:
			e.say("%s: led by %s, newest version %d", c.name, leader, newest)
			continue
		}
		lost++
		e.say("BROKEN: %s: led by %s, newest version %d: version 1, which was answered to the operator, is lost", c.name, leader, newest)
		e.tail(c.name+"-n2", 5)
		out, err := c.command("publish", second)
		e.say("%s: the operator publishes mark winter and is answered %q, %v", c.name, out, err)
		time.Sleep(500 * time.Millisecond)
		out, _ = c.command("status")
		e.say("%s: %s", c.name, strings.ReplaceAll(out, "\n", "\n         "))
	}
	e.say("of %d councils %d lost the version, %d have no leader", fleets, lost, unknown)
	switch {
	case lost > 0:
		return broken
	case unknown > 0:
		return cannot
	}
	return held
}
