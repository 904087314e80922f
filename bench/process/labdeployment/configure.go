package labdeployment

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labkeys"
	"laburnumlock.dev/lab/proxy/connection/labscram"
	"laburnumlock.dev/lab/request/laboperator"
)

const maxOperatorAttempts = 50

type templateDocument struct {
	Parameters lab.Parameters `json:"parameters"`
}

type organisationDocument struct {
	Template   string         `json:"template"`
	Databases  []string       `json:"databases"`
	Credential lab.Credential `json:"credential"`
	Parameters lab.Parameters `json:"parameters"`
}

// Configure creates the template and the organisation through the operators' API.
func (d *Deployment) Configure(ctx context.Context) error {
	d.operator = &laboperator.Client{
		Addresses: d.OperatorAddresses(), Attempts: maxOperatorAttempts,
		Identity: &labkeys.Identity{Folder: d.keysFolder(), Name: operatorName},
	}

	credential, err := labscram.NewCredential(d.Password)
	if err != nil {
		return errors.Newf("create credential of the organisation: %w", err)
	}

	s := d.Settings
	template := templateDocument{Parameters: s.Parameters}

	if _, err := d.putDocument(ctx, laboperator.KindTemplate, s.Template, 0, template); err != nil {
		return err
	}

	organisation := organisationDocument{Template: s.Template, Databases: s.DatabaseGroup.Databases, Credential: credential}
	_, err = d.putDocument(ctx, laboperator.KindOrganisation, s.Organisation, 0, organisation)

	return err
}

// ChangeQueueLimit sets the organisation's queue limit and returns the ID of the change.
func (d *Deployment) ChangeQueueLimit(ctx context.Context, limit int64) (string, error) {
	o, err := d.operator.Get(ctx, laboperator.KindOrganisation, d.Settings.Organisation)
	if err != nil {
		return "", errors.Newf("read organisation: %w", err)
	}

	var document organisationDocument
	if err := json.Unmarshal(o.Document, &document); err != nil {
		return "", errors.Newf("decode organisation: %w", err)
	}

	document.Parameters.QueueLimit = limit

	result, err := d.putDocument(ctx, laboperator.KindOrganisation, d.Settings.Organisation, o.LastChange.Version, document)

	return result.ChangeID, err
}

// QueueLimit returns the organisation's queue limit as stored by the control group.
func (d *Deployment) QueueLimit(ctx context.Context) (int64, error) {
	o, err := d.operator.Get(ctx, laboperator.KindOrganisation, d.Settings.Organisation)
	if err != nil {
		return 0, errors.Newf("read organisation: %w", err)
	}

	var merged lab.Organisation
	if err := json.Unmarshal(o.Merged, &merged); err != nil {
		return 0, errors.Newf("decode organisation: %w", err)
	}

	return merged.Parameters.QueueLimit, nil
}

// IsActive reports whether every proxy has confirmed the configuration change with this ID.
func (d *Deployment) IsActive(ctx context.Context, changeID string) (bool, error) {
	s, err := d.operator.ChangeStatus(ctx, changeID)

	return s.Active, err
}

func (d *Deployment) putDocument(ctx context.Context, kind laboperator.Kind, name string, base uint64, document any) (laboperator.ChangeResult, error) {
	b, err := json.Marshal(document)
	if err != nil {
		return laboperator.ChangeResult{}, errors.Newf("encode document: %w", err)
	}

	return d.operator.Put(ctx, kind, name, laboperator.Change{ID: laboperator.NewChangeID(), BaseVersion: base, Document: b})
}
