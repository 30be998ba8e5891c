package mesh

import "strconv"

// APIKey is a secret that identifies a workspace in a request. Its text form hides it, so
// that it can't get into logs or errors by accident.
type APIKey string

// hiddenKey is the text form of every key.
const hiddenKey = "[key]"

// String returns a placeholder.
func (APIKey) String() string { return hiddenKey }

// GoString returns a placeholder.
func (APIKey) GoString() string { return hiddenKey }

// MarshalText returns a placeholder.
func (APIKey) MarshalText() ([]byte, error) { return []byte(hiddenKey), nil }

// Quota limits the requests of a workspace, summed over all nodes.
type Quota struct {
	// Rate is the sustained number of requests per second; 0 means no limit.
	Rate float64
	// Burst is the number of requests permitted at once in addition.
	Burst float64
}

// Limited reports whether the quota sets a limit.
func (q Quota) Limited() bool {
	return q.Rate > 0
}

// Workspace is a customer of the mesh: its requests carry one of its keys.
type Workspace struct {
	// Name is unique in a configuration.
	Name string
	// Keys are the keys that are valid now.
	Keys []APIKey
	// Priority precedes the priority of a route; 0 is the highest. It is nil when the
	// workspace has none.
	Priority *int
	// Quota limits the requests.
	Quota Quota
}

// WorkspaceTable finds the workspace that holds a key. It is immutable.
type WorkspaceTable struct {
	byKey  map[APIKey]*Workspace
	byName map[string]*Workspace
}

// NewWorkspaceTable returns the table of a configuration's workspaces. What is invalid
// opens nothing: a workspace without a name, with the name of another one or with a
// negative quota is left out, and so is a key that two workspaces hold.
func NewWorkspaceTable(workspaces []Workspace) (*WorkspaceTable, []Defect) {
	t := &WorkspaceTable{byKey: map[APIKey]*Workspace{}, byName: map[string]*Workspace{}}
	var defects []Defect
	for i := range workspaces {
		w := &workspaces[i]
		if problem := t.problemOf(w); problem != "" {
			defects = append(defects, Defect{Name: w.Name, Problem: "workspace left out: " + problem})
			continue
		}
		t.byName[w.Name] = w
		for _, key := range w.Keys {
			holder, held := t.byKey[key]
			switch {
			case key == "":
				defects = append(defects, Defect{Name: w.Name, Problem: "empty key left out"})
			case held && holder != w:
				defects = append(defects, Defect{Name: w.Name, Problem: "key left out that another workspace holds too"})
				t.byKey[key] = nil
			case !held:
				t.byKey[key] = w
			}
		}
	}
	return t, defects
}

func (t *WorkspaceTable) problemOf(w *Workspace) string {
	switch {
	case w.Name == "":
		return "it has no name"
	case t.byName[w.Name] != nil:
		return "another one has its name"
	case w.Quota.Rate < 0 || w.Quota.Burst < 0:
		return "negative quota " + strconv.FormatFloat(w.Quota.Rate, 'g', -1, 64) + ", " + strconv.FormatFloat(w.Quota.Burst, 'g', -1, 64)
	case w.Priority != nil && *w.Priority < 0:
		return "negative priority"
	}
	return ""
}

// Holder returns the workspace that holds a key, or nil.
func (t *WorkspaceTable) Holder(key APIKey) *Workspace {
	return t.byKey[key]
}

// Find returns a workspace by its name, or nil.
func (t *WorkspaceTable) Find(name string) *Workspace {
	return t.byName[name]
}

const (
	// MaxPriority is the lowest priority of a route or workspace. Ranks, which are sent as 32
	// bits, keep their order up to it.
	MaxPriority = 1 << 20
	// maxRoutePriority is the lowest priority of a route that Rank distinguishes.
	maxRoutePriority = 255
)

// Rank returns the order in which requests of a route and a workspace are served; 0 goes
// first. The workspace's priority precedes the route's. Requests without a workspace rank
// as those of a workspace with the route's priority.
func Rank(route *Route, workspace *Workspace) int {
	byRoute := min(max(route.Priority, 0), maxRoutePriority)
	byWorkspace := byRoute
	if workspace != nil && workspace.Priority != nil {
		byWorkspace = *workspace.Priority
	}
	return byWorkspace*(maxRoutePriority+1) + byRoute
}
