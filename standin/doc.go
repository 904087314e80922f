// Package standin holds the stand-in upstream that bench, the demo and tests run against.
package standin
