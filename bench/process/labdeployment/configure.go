package labdeployment

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labkeys"
	"laburnumlock.dev/lab/proxy/connection/labscram"
	"laburnumlock.dev/lab/request/laboperator"
)

const configureRounds = 50

type templateDocument struct {
	Parameters lab.Parameters `json:"parameters"`
}

type organisationDocument struct {
	Template   string         `json:"template"`
	Databases  []string       `json:"databases"`
	Credential lab.Credential `json:"credential"`
	Parameters lab.Parameters `json:"parameters"`
}

// Configure creates the template and the organisation.
func (d *Deployment) Configure(ctx context.Context) error {
	d.operator = &laboperator.Client{
		Addresses: d.OperatorAddresses(), Rounds: configureRounds,
		Identity: &labkeys.Identity{Folder: d.keys(), Name: operatorName},
	}

	credential, err := labscram.NewCredential(d.Password)
	if err != nil {
		return errors.Newf("make credential: %w", err)
	}

	s := d.Settings
	template := templateDocument{Parameters: s.Parameters}

	if err := d.put(ctx, "/v1/templates/"+s.Template, template); err != nil {
		return errors.Newf("create template: %w", err)
	}

	organisation := organisationDocument{Template: s.Template, Databases: s.Group.Databases, Credential: credential}
	if err := d.put(ctx, "/v1/organisations/"+s.Organisation, organisation); err != nil {
		return errors.Newf("create organisation: %w", err)
	}

	return nil
}

func (d *Deployment) put(ctx context.Context, path string, document any) error {
	return d.operator.Do(ctx, http.MethodPut, path, document, nil)
}
