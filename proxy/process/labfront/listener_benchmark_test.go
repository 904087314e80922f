package labfront_test

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

// BenchmarkQuery measures prepared reads over the loopback interface, including the client and the fake gateway.
func BenchmarkQuery(b *testing.B) {
	x := startFixture(b, nil)
	x.gateway.update(func(g *fakeGateway) { g.discardsQueries = true })
	b.ReportAllocs()
	b.SetParallelism(4)
	b.RunParallel(func(p *testing.PB) {
		c, err := pgx.Connect(context.Background(), x.url(""))
		assert.NilError(b, err)

		defer func() { _ = c.Close(context.Background()) }()

		var got string
		for p.Next() {
			assert.NilError(b, c.QueryRow(context.Background(), "select $1", "v").Scan(&got))
		}
	})
}
