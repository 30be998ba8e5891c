// Package workload runs fleets of real nodes with stand-ins on loopback and
// puts callers' load on them. The demo and the bench use it.
package workload

import (
	"io/fs"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"boragefall/examples"
	"boragefall/internal/config"
	"boragefall/internal/datacentre"
)

// ErrUnknownDeployment reports a name that no deployment has.
var ErrUnknownDeployment = eris.New("a deployment is fyrnet or anilla-sur")

// Deployment is one of the users' meshes at today's size.
type Deployment struct {
	Name        string
	Region      datacentre.Region
	DataCentres []datacentre.ID
	Services    []ServiceSize
	Operations  []Operation
}

// ServiceSize says how many servers a service has and what each bears.
type ServiceSize struct {
	Name                      string
	Hosts, Slots, Connections int
	ColdLimit                 int
	WorkTime                  time.Duration
}

// Operation is one kind of request that callers make.
type Operation struct {
	Name, Caller, Method, Path string
	// Share is the kind's part of the load, relative to the others.
	Share int
	// Idempotent operations are re-sent as new ones.
	Idempotent bool
	// BodyBytes is the size of the request's body.
	BodyBytes int
	// Service runs the operation.
	Service string
	// Poison makes the request crash every server that runs it. Default false.
	Poison bool
}

// Deployments returns the users' meshes.
func Deployments() []Deployment {
	return []Deployment{fyrnet(), anillaSur()}
}

// Named returns the deployment of a name.
func Named(name string) (Deployment, error) {
	for _, d := range Deployments() {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, eris.Wrapf(ErrUnknownDeployment, "%q", name)
}

const workTime = 2 * time.Millisecond

func fyrnet() Deployment {
	return Deployment{
		Name:        "fyrnet",
		Region:      "denmark-west",
		DataCentres: []datacentre.ID{"esbjerg", "hvide-sande", "thyboron", "hirtshals"},
		Services: []ServiceSize{
			{Name: "status", Hosts: 6, Slots: 10, Connections: 120, ColdLimit: 2, WorkTime: workTime},
			{Name: "ordering", Hosts: 4, Slots: 10, Connections: 120, ColdLimit: 1, WorkTime: workTime},
			{Name: "logbook", Hosts: 4, Slots: 10, Connections: 120, ColdLimit: 1, WorkTime: workTime},
		},
		Operations: []Operation{
			{Name: "lookup", Service: "status", Caller: "harbour-crew", Method: http.MethodGet, Path: "/status/buoy-7", Share: 60, Idempotent: true},
			{Name: "order", Service: "ordering", Caller: "harbour-crew", Method: http.MethodPost, Path: "/orders", Share: 15, BodyBytes: 200},
			{Name: "discharge", Service: "ordering", Caller: "depot", Method: http.MethodPost, Path: "/discharges", Share: 10, BodyBytes: 100},
			{Name: "log-lookup", Service: "logbook", Caller: "depot", Method: http.MethodGet, Path: "/logs/buoy-7", Share: 10, Idempotent: true},
			{Name: "log-upload", Service: "logbook", Caller: "service-boat", Method: http.MethodPost, Path: "/logs/buoy-7", Share: 5, BodyBytes: 64 << 10},
		},
	}
}

func anillaSur() Deployment {
	return Deployment{
		Name:        "anilla-sur",
		Region:      "chile-central",
		DataCentres: []datacentre.ID{"valparaiso", "rancagua", "talca", "santiago"},
		Services: []ServiceSize{
			{Name: "results", Hosts: 5, Slots: 6, Connections: 130, ColdLimit: 2, WorkTime: workTime},
			{Name: "clocking", Hosts: 4, Slots: 6, Connections: 130, ColdLimit: 1, WorkTime: workTime},
			{Name: "release", Hosts: 4, Slots: 6, Connections: 130, ColdLimit: 1, WorkTime: workTime},
		},
		Operations: []Operation{
			{Name: "standings", Service: "results", Caller: "fancier", Method: http.MethodGet, Path: "/standings/race-3", Share: 50, Idempotent: true},
			{Name: "loft", Service: "results", Caller: "fancier", Method: http.MethodGet, Path: "/lofts/12", Share: 15, Idempotent: true},
			{Name: "arrival", Service: "clocking", Caller: "fancier", Method: http.MethodPost, Path: "/arrivals", Share: 20, BodyBytes: 150},
			{Name: "release", Service: "release", Caller: "convoy", Method: http.MethodGet, Path: "/releases/race-3", Share: 10, Idempotent: true},
			{Name: "proof", Service: "release", Caller: "club", Method: http.MethodPost, Path: "/proofs/race-3", Share: 5, BodyBytes: 64 << 10},
		},
	}
}

// Folder returns the deployment's example folder.
func (d Deployment) Folder() ([]config.File, error) {
	entries, err := fs.ReadDir(examples.Folders, d.Name)
	if err != nil {
		return nil, eris.Wrap(err, "read example folder")
	}
	files := make([]config.File, 0, len(entries))
	for _, e := range entries {
		data, err := fs.ReadFile(examples.Folders, d.Name+"/"+e.Name())
		if err != nil {
			return nil, eris.Wrap(err, "read example file")
		}
		files = append(files, config.File{Name: e.Name(), Data: data})
	}
	return files, nil
}

// WithHosts returns the deployment with so many hosts in all, spread over the
// services in the proportion of today.
func (d Deployment) WithHosts(n int) Deployment {
	today := 0
	for _, s := range d.Services {
		today += s.Hosts
	}
	services := slices.Clone(d.Services)
	given := 0
	for i := range services {
		services[i].Hosts = max(1, n*services[i].Hosts/today)
		given += services[i].Hosts
	}
	services[0].Hosts += n - given
	d.Services = services
	return d
}

// WithWorkTime returns the deployment with a mean run time for all services.
func (d Deployment) WithWorkTime(t time.Duration) Deployment {
	d.Services = slices.Clone(d.Services)
	for i := range d.Services {
		d.Services[i].WorkTime = t
	}
	return d
}

// Size returns the size of a service.
func (d Deployment) Size(service string) ServiceSize {
	for _, s := range d.Services {
		if s.Name == service {
			return s
		}
	}
	return ServiceSize{}
}

// HostsOutside returns the number of a service's hosts that stand outside a
// data centre.
func (d Deployment) HostsOutside(service string, out datacentre.ID) int {
	count := 0
	for i := range d.Size(service).Hosts {
		if d.centre(i) != out {
			count++
		}
	}
	return count
}

// centre returns the data centre of a service's i-th host: hosts go round them.
func (d Deployment) centre(i int) datacentre.ID {
	return d.DataCentres[i%len(d.DataCentres)]
}
