package labcommand

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab/process/labkeys"
	"laburnumlock.dev/lab/request/laboperator"
)

const clientRounds = 3

// connection holds the flags that say how to reach control.
type connection struct {
	control *string
	folder  *string
	name    *string
}

func addConnection(a *kingpin.Application) *connection {
	return &connection{
		control: a.Flag("control", "Operator addresses of the control instances, separated by commas.").
			Envar("LABURNUMLOCK_CONTROL").String(),
		folder: a.Flag("keys", "Keys folder with the operator's certificate.").Default("keys").String(),
		name:   a.Flag("operator", "Name in the operator's certificate.").Default("operator").String(),
	}
}

func (n *connection) client() (*laboperator.Client, error) {
	if *n.control == "" {
		return nil, errors.New("--control must name the operator addresses of the control instances")
	}

	i := &labkeys.Identity{Folder: *n.folder, Name: *n.name}
	if err := i.Load(); err != nil {
		return nil, errors.Newf("load operator certificate: %w", err)
	}

	return &laboperator.Client{Addresses: strings.Split(*n.control, ","), Identity: i, Attempts: clientRounds}, nil
}

// show prints the answer of a GET request.
func (c *Command) show(ctx context.Context, n *connection, method, path string) error {
	client, err := n.client()
	if err != nil {
		return err
	}

	var answer any
	if err := client.Do(ctx, method, path, nil, &answer); err != nil {
		return err
	}

	return c.print(answer)
}

func (c *Command) addStatus(a *kingpin.Application, n *connection) {
	k := a.Command("status", "Shows database groups, terms, gateways, lag, leases and versions.")
	c.add(k, func(ctx context.Context) error { return c.show(ctx, n, http.MethodGet, "/v1/status") })

	change := a.Command("change", "Shows whether a change was accepted and whether it is in force at every proxy.")
	id := change.Arg("id", "Change id.").Required().String()

	c.add(change, func(ctx context.Context) error {
		return c.show(ctx, n, http.MethodGet, "/v1/changes/"+url.PathEscape(*id))
	})

	instance := a.Command("instance", "Acts on proxies.")
	drain := instance.Command("drain", "Moves an instance's duties to other proxies.")
	name := drain.Arg("name", "Instance name.").Required().String()

	c.add(drain, func(ctx context.Context) error {
		return c.show(ctx, n, http.MethodPost, "/v1/instances/"+url.PathEscape(*name)+"/drain")
	})
}

func (c *Command) addObjects(a *kingpin.Application, n *connection, name string, kind laboperator.Kind) {
	k := a.Command(name, "Reads and changes "+string(kind)+".")

	c.add(k.Command("list", "Lists the names."), func(ctx context.Context) error {
		return c.show(ctx, n, http.MethodGet, "/v1/"+string(kind))
	})

	get := k.Command("get", "Shows the document with the version to base a change on.")
	getName := get.Arg("name", "Name.").Required().String()

	c.add(get, func(ctx context.Context) error {
		return c.show(ctx, n, http.MethodGet, "/v1/"+string(kind)+"/"+url.PathEscape(*getName))
	})

	put := k.Command("put", "Creates or changes an object; prints the answer with the accepted version.")
	putName := put.Arg("name", "Name.").Required().String()
	file := put.Arg("file", "JSON document.").Required().ExistingFile()
	base := put.Flag("base", "Version that the change is based on, 0 for a new object.").Required().Uint64()
	id := put.Flag("change-id", "Change id; give the same one again after a lost answer.").String()

	c.add(put, func(ctx context.Context) error { return c.put(ctx, n, kind, *putName, *file, *base, *id) })

	remove := k.Command("delete", "Deletes an object.")
	removeName := remove.Arg("name", "Name.").Required().String()
	removeBase := remove.Flag("base", "Version that the deletion is based on.").Required().Uint64()

	c.add(remove, func(ctx context.Context) error {
		client, err := n.client()
		if err != nil {
			return err
		}

		answer, err := client.Delete(ctx, kind, *removeName, laboperator.Change{ID: laboperator.NewChangeID(), BaseVersion: *removeBase})
		if err != nil {
			return err
		}

		return c.print(answer)
	})

	c.addDiff(k, n, kind)
}

func (c *Command) put(ctx context.Context, n *connection, kind laboperator.Kind, name, file string, base uint64, id string) error {
	document, err := os.ReadFile(file)
	if err != nil {
		return errors.Newf("read document: %w", err)
	}

	if !json.Valid(document) {
		return errors.Newf("%s is not valid JSON", file)
	}

	client, err := n.client()
	if err != nil {
		return err
	}

	if id == "" {
		id = laboperator.NewChangeID()
	}

	answer, err := client.Put(ctx, kind, name, laboperator.Change{ID: id, BaseVersion: base, Document: document})
	if err != nil {
		return errors.Newf("change id %s: %w", id, err)
	}

	return c.print(answer)
}

func (c *Command) addAudit(a *kingpin.Application, n *connection) {
	k := a.Command("audit", "Reads the audit trail of changes.")

	list := k.Command("list", "Lists records.")
	after := list.Flag("after", "Last record number already seen.").Uint64()
	limit := list.Flag("limit", "Records at most.").Default("100").Int()

	c.add(list, func(ctx context.Context) error {
		return c.show(ctx, n, http.MethodGet, auditPath(*after, *limit))
	})

	c.add(k.Command("verify", "Checks the hash chain."), func(ctx context.Context) error { return c.verify(ctx, n) })
	c.add(k.Command("export", "Prints the whole trail."), func(ctx context.Context) error {
		return c.show(ctx, n, http.MethodGet, auditPath(0, exportLimit))
	})
}

const exportLimit = 1_000_000

// ErrAuditDamaged is returned when the hash chain of the audit trail does not hold.
var ErrAuditDamaged = errors.New("the audit trail was altered")

func auditPath(after uint64, limit int) string {
	q := url.Values{"after": {strconv.FormatUint(after, 10)}, "limit": {strconv.Itoa(limit)}}

	return "/v1/audit?" + q.Encode()
}

func (c *Command) verify(ctx context.Context, n *connection) error {
	client, err := n.client()
	if err != nil {
		return err
	}

	var answer struct {
		Intact bool `json:"intact"`
	}
	if err := client.Do(ctx, http.MethodGet, auditPath(0, 1), nil, &answer); err != nil {
		return err
	}

	if !answer.Intact {
		return ErrAuditDamaged
	}

	return c.done(nil, "the audit trail is intact")
}
