// Cover writes the days cover-NN.toml to deploy/days, in which each kind and variant of disruption that the users' bench lists stands at least
// once, and each kind of planned work meets each kind of fault in time. Run it in the repository's root. The first days have
// faults of health checks and idle connections, which only deployments with these contracts take.
package main

import (
	"log"
	"os"
	"path/filepath"
)

func main() {
	for _, d := range generate() {
		path := filepath.Join("deploy", "days", d.name+".toml")
		if err := os.WriteFile(path, []byte(d.text()), 0o644); err != nil {
			log.Fatal(err)
		}
	}
}
