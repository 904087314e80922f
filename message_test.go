package lab

import (
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestMessageFields guards against two fields of a message with one name on the wire. The codec reports that in a log
// line only and drops a field, so that no proxy could read an answer of control.
func TestMessageFields(t *testing.T) {
	for _, m := range []any{
		WatchRequest{},
		RelayedProxy{},
		PrimaryReport{},
		WatchResponse{},
		LeavingMember{},
		ProxyChanges{},
		MemberList{},
		MemberChanges{},
		QuotaRequest{},
		QuotaItem{},
		QuotaResponse{},
		QuotaGrant{},
		Operation{},
		OperationResult{},
		Announcement{},
		TransactionHeader{},
		Heartbeat{},
		HeartbeatResponse{},
		CatalogDelta{},
		Database{},
		Organisation{},
	} {
		message := reflect.TypeOf(m)

		t.Run(message.Name(), func(t *testing.T) {
			fields := map[string]string{}

			for i := range message.NumField() {
				f := message.Field(i)

				name, _, _ := strings.Cut(f.Tag.Get("msgpack"), ",")
				if name == "" {
					continue
				}

				assert.Equal(t, fields[name], "", "%s has the same name on the wire as %s", f.Name, fields[name])
				fields[name] = f.Name
			}
		})
	}
}
