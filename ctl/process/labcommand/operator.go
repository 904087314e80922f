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

const clientAttempts = 3

// connectionFlags holds the flags for the connection to the control instances.
type connectionFlags struct {
	control *string
	folder  *string
	name    *string
}

func addConnection(a *kingpin.Application) *connectionFlags {
	return &connectionFlags{
		control: a.Flag("control", "Operator addresses of the control instances, separated by commas.").
			Envar("LABURNUMLOCK_CONTROL").String(),
		folder: a.Flag("keys", "Keys folder with the operator's certificate.").Default("keys").String(),
		name:   a.Flag("operator", "Name in the operator's certificate.").Default("operator").String(),
	}
}

func (cf *connectionFlags) client() (*laboperator.Client, error) {
	if *cf.control == "" {
		return nil, errors.New("--control must name the operator addresses of the control instances")
	}

	i := &labkeys.Identity{Folder: *cf.folder, Name: *cf.name}
	if err := i.Load(); err != nil {
		return nil, errors.Newf("load operator certificate: %w", err)
	}

	return &laboperator.Client{Addresses: strings.Split(*cf.control, ","), Identity: i, Attempts: clientAttempts}, nil
}

// request sends a request without a body and prints the response.
func (c *Command) request(ctx context.Context, cf *connectionFlags, method, path string) error {
	client, err := cf.client()
	if err != nil {
		return err
	}

	var response any
	if err := client.Do(ctx, method, path, nil, &response); err != nil {
		return err
	}

	return c.printJSON(response)
}

func (c *Command) addStatus(a *kingpin.Application, cf *connectionFlags) {
	k := a.Command("status", "Shows database groups, terms, gateways, lag, leases and versions.")
	c.register(k, func(ctx context.Context) error { return c.request(ctx, cf, http.MethodGet, "/v1/status") })

	change := a.Command("change", "Shows whether a change was accepted and whether it is active at every proxy.")
	id := change.Arg("id", "Change id.").Required().String()

	c.register(change, func(ctx context.Context) error {
		return c.request(ctx, cf, http.MethodGet, "/v1/changes/"+url.PathEscape(*id))
	})

	instance := a.Command("instance", "Manages proxies.")
	drain := instance.Command("drain", "Moves a proxy's gateway roles to other proxies.")
	name := drain.Arg("name", "Instance name.").Required().String()

	c.register(drain, func(ctx context.Context) error {
		return c.request(ctx, cf, http.MethodPost, "/v1/instances/"+url.PathEscape(*name)+"/drain")
	})
}

func (c *Command) addObjects(a *kingpin.Application, cf *connectionFlags, name string, kind laboperator.Kind) {
	k := a.Command(name, "Reads and changes "+string(kind)+".")

	c.register(k.Command("list", "Lists the names."), func(ctx context.Context) error {
		return c.request(ctx, cf, http.MethodGet, "/v1/"+string(kind))
	})

	get := k.Command("get", "Shows the document with the version to base a change on.")
	getName := get.Arg("name", "Name.").Required().String()

	c.register(get, func(ctx context.Context) error {
		return c.request(ctx, cf, http.MethodGet, "/v1/"+string(kind)+"/"+url.PathEscape(*getName))
	})

	put := k.Command("put", "Creates or changes an object; prints the response with the accepted version.")
	putName := put.Arg("name", "Name.").Required().String()
	file := put.Arg("file", "JSON document.").Required().ExistingFile()
	base := put.Flag("base", "Version that the change is based on, 0 for a new object.").Required().Uint64()
	id := put.Flag("change-id", "Change id; repeat the command with the same id if the response was lost.").String()

	c.register(put, func(ctx context.Context) error { return c.put(ctx, cf, kind, *putName, *file, *base, *id) })

	remove := k.Command("delete", "Deletes an object.")
	removeName := remove.Arg("name", "Name.").Required().String()
	removeBase := remove.Flag("base", "Version that the deletion is based on.").Required().Uint64()

	c.register(remove, func(ctx context.Context) error {
		client, err := cf.client()
		if err != nil {
			return err
		}

		result, err := client.Delete(ctx, kind, *removeName, laboperator.Change{
			ID: laboperator.NewChangeID(), BaseVersion: *removeBase,
		})
		if err != nil {
			return err
		}

		return c.printJSON(result)
	})

	c.addDiff(k, cf, kind)
}

func (c *Command) put(
	ctx context.Context, cf *connectionFlags, kind laboperator.Kind, name, file string, base uint64, id string,
) error {
	document, err := os.ReadFile(file)
	if err != nil {
		return errors.Newf("read document: %w", err)
	}

	if !json.Valid(document) {
		return errors.Newf("%s is not valid JSON", file)
	}

	client, err := cf.client()
	if err != nil {
		return err
	}

	if id == "" {
		id = laboperator.NewChangeID()
	}

	result, err := client.Put(ctx, kind, name, laboperator.Change{ID: id, BaseVersion: base, Document: document})
	if err != nil {
		return errors.Newf("change id %s: %w", id, err)
	}

	return c.printJSON(result)
}

func (c *Command) addAudit(a *kingpin.Application, cf *connectionFlags) {
	k := a.Command("audit", "Reads the audit trail of changes.")

	list := k.Command("list", "Lists records.")
	after := list.Flag("after", "Sequence number after which the list starts.").Uint64()
	limit := list.Flag("limit", "Maximum number of records.").Default("100").Int()

	c.register(list, func(ctx context.Context) error {
		return c.request(ctx, cf, http.MethodGet, auditPath(*after, *limit))
	})

	c.register(k.Command("verify", "Checks the hash chain."), func(ctx context.Context) error { return c.verifyAudit(ctx, cf) })
	c.register(k.Command("export", "Prints the whole trail."), func(ctx context.Context) error {
		return c.request(ctx, cf, http.MethodGet, auditPath(0, maxExportRecords))
	})
}

const maxExportRecords = 1_000_000

// ErrAuditDamaged is returned when the hash chain of the audit trail is broken.
var ErrAuditDamaged = errors.New("the audit trail was altered")

func auditPath(after uint64, limit int) string {
	q := url.Values{"after": {strconv.FormatUint(after, 10)}, "limit": {strconv.Itoa(limit)}}

	return "/v1/audit?" + q.Encode()
}

func (c *Command) verifyAudit(ctx context.Context, cf *connectionFlags) error {
	client, err := cf.client()
	if err != nil {
		return err
	}

	var response struct {
		Intact bool `json:"intact"`
	}
	if err := client.Do(ctx, http.MethodGet, auditPath(0, 1), nil, &response); err != nil {
		return err
	}

	if !response.Intact {
		return ErrAuditDamaged
	}

	return c.printLine(nil, "the audit trail is intact")
}
