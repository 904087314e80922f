#!/usr/bin/env bash
# Installs the pinned formatter and linter where they are missing, checks format, lint and vet, then runs all tests and a
# short race run in every module of the workspace. Needs nothing but Go modules. LAB_SKIP_LINT=1 leaves out format and lint.
set -euo pipefail
cd "$(dirname "$0")"
export PATH="$PATH:$(go env GOPATH)/bin"
GOFUMPT_VERSION=v0.12.0
GOLANGCI_VERSION=v2.15.0
modules=(. control proxy standin ctl bench platform)

have() { command -v "$1" >/dev/null && "$1" --version 2>&1 | grep -qF "$2"; }

if [ -z "${LAB_SKIP_LINT:-}" ]; then
	have gofumpt "$GOFUMPT_VERSION" || GOWORK=off go install "mvdan.cc/gofumpt@$GOFUMPT_VERSION"
	have golangci-lint "${GOLANGCI_VERSION#v}" ||
		GOWORK=off go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$GOLANGCI_VERSION"

	unformatted=$(gofumpt -l .)
	if [ -n "$unformatted" ]; then
		echo "not formatted by gofumpt:" "$unformatted"
		exit 1
	fi
	for m in "${modules[@]}"; do
		(cd "$m" && golangci-lint run --config "$OLDPWD/.golangci.yml" ./...)
	done
fi

# Tests that are known to fail, one per line of KNOWN-RED.txt as "test: Name ..."; they are printed and passed over.
skip=""
if [ -f KNOWN-RED.txt ]; then
	skip=$(sed -n 's/^test: \([A-Za-z0-9_\/]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|')
fi
[ -z "$skip" ] || echo "passed over (KNOWN-RED.txt): $skip"

for m in "${modules[@]}"; do
	(cd "$m" && go vet ./... && go test -count=1 -timeout 20m ${skip:+-skip "^($skip)\$"} ./...)
done
for m in . control proxy platform; do
	(cd "$m" && go test -count=1 -short -race -timeout 20m ${skip:+-skip "^($skip)\$"} ./...)
done
