package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	// KillVM kills a process, which starts again after the fault. WipeVM also removes
	// its data folder, and TearVM leaves a torn record at the end of its log.
	KillVM Kind = "killVM"
	WipeVM Kind = "wipeVM"
	TearVM Kind = "tearVM"
	// ReplaceVM ends a control VM for good, and starts an empty one in its place at another
	// address.
	ReplaceVM Kind = "replaceVM"
	// SlowDisk, StallDisk and FullDisk disturb the disk of a control VM. StepClock kills a
	// process and starts it with another time of day.
	SlowDisk  Kind = "slowDisk"
	StallDisk Kind = "stallDisk"
	FullDisk  Kind = "fullDisk"
	StepClock Kind = "stepClock"
	// PauseVM suspends a process.
	PauseVM Kind = "pauseVM"
	// StopVM lets a process shut down, and starts it again.
	StopVM Kind = "stopVM"
	// RollVMs does the same with all processes in turn.
	RollVMs Kind = "rollVMs"
	// KillAll kills all processes at once.
	KillAll Kind = "killAll"
	// ReloadVM changes the settings file of a VM and signals that several times, also
	// while another fault goes on there.
	ReloadVM Kind = "reloadVM"
	// DelayCallers, ResetCallers, SilenceCallers and HalfOpenCallers disturb the
	// connections of callers to a VM. Half open means that nothing reaches the caller.
	DelayCallers    Kind = "delayCallers"
	ResetCallers    Kind = "resetCallers"
	SilenceCallers  Kind = "silenceCallers"
	HalfOpenCallers Kind = "halfOpenCallers"
	// DelayPeers, ResetPeers, SilencePeers and HalfOpenPeers disturb the connections of
	// other VMs to a VM. Half open means that its answers don't reach them.
	DelayPeers    Kind = "delayPeers"
	ResetPeers    Kind = "resetPeers"
	SilencePeers  Kind = "silencePeers"
	HalfOpenPeers Kind = "halfOpenPeers"
	// DelayServer, ResetServer and SilenceServer disturb the connections of all VMs to
	// a backend server.
	DelayServer   Kind = "delayServer"
	ResetServer   Kind = "resetServer"
	SilenceServer Kind = "silenceServer"
	// CrashServer closes a backend server, and starts another in its place. LeaveServer
	// lets it announce that it is leaving first.
	CrashServer Kind = "crashServer"
	LeaveServer Kind = "leaveServer"
	// BreakAnswers lets a backend server break off its answers in every framing, or send some
	// that are none in HTTP.
	BreakAnswers Kind = "breakAnswers"
	// LimitServer lets a backend server name a rate limit, and EndlessAnswers send bytes
	// without end in a part of its answers.
	LimitServer    Kind = "limitServer"
	EndlessAnswers Kind = "endlessAnswers"
	// SayLeaving lets a backend server say in its responses that it is leaving, which it
	// does not announce, and replaces it. TurnAway lets one turn requests away and name a
	// time in which it wants none.
	SayLeaving Kind = "sayLeaving"
	TurnAway   Kind = "turnAway"
)

// Fault is a fault of a plan.
type Fault struct {
	// At is the start, since the start of the load, and For the duration.
	At  time.Duration `json:"at"`
	For time.Duration `json:"for"`
	// Kind says what happens, and Target to which VM or backend server, by its index.
	Kind   Kind `json:"kind"`
	Target int  `json:"target"`
	// Step is by how much the time of day is wrong after StepClock.
	Step time.Duration `json:"step,omitempty"`
}

// end returns when the fault is over.
func (f Fault) end() time.Duration { return f.At + f.For }

// vmKinds and otherKinds are the kinds that a plan draws from. Those that occur twice
// are drawn twice as often.
var (
	vmKinds    = []Kind{KillVM, KillVM, WipeVM, TearVM, PauseVM, PauseVM, StopVM, StopVM}
	otherKinds = []Kind{
		DelayCallers, ResetCallers, SilenceCallers, HalfOpenCallers, DelayServer, ResetServer, SilenceServer,
		CrashServer, CrashServer, LeaveServer, LeaveServer, BreakAnswers, BreakAnswers,
	}
)

const (
	// vmFaultGap is the longest time between two series of faults of VMs, and
	// otherGap that between two other faults.
	vmFaultGap = 2500 * time.Millisecond
	otherGap   = 900 * time.Millisecond
	// maxDown is the longest time that a VM is down or suspended, and maxDisturbed that
	// of other faults.
	maxDown      = 2 * time.Second
	maxDisturbed = 2500 * time.Millisecond
	// reloadGap is the longest time between two reloads of settings, and reloads the
	// number of signals of one.
	reloadGap = 2 * time.Second
	reloads   = 3
	// limitGap is the longest time between two limits, and minLimited and maxLimited
	// bound how long one is named.
	limitGap   = 3 * time.Second
	minLimited = 5 * time.Second
	maxLimited = 9 * time.Second
	// endlessGap is the longest time between two faults with endless answers.
	endlessGap = 3 * time.Second
	// statementGap is the longest time between two faults in which a server says something
	// of itself.
	statementGap = 3 * time.Second
	// noteGap is the longest time between two faults of servers of streams that may be
	// resumed, and noteServers the number of these servers.
	noteGap     = 1500 * time.Millisecond
	noteServers = firstCold - firstNotes
	// coldGap is the longest time between two crashes of cold servers.
	coldGap = 2500 * time.Millisecond
	// coldFirst is when all of them crash for the first time: late enough for a VM to issue
	// permits, for which it must have run for 5 s, and before most losses of VMs.
	coldFirst = 2500 * time.Millisecond
	// allColdChance is the chance that all of them crash at once. While one is warm, the
	// others get little.
	allColdChance = 0.5
	// peerGap is the longest time between two faults of connections between VMs.
	peerGap = 3 * time.Second
	// diskGap and clockGap are the longest times between two faults of disks and of clocks,
	// and maxStep bounds by how much a clock is wrong.
	diskGap  = 4 * time.Second
	clockGap = 12 * time.Second
	maxStep  = 30 * time.Second
	// rollGap is the time between two stops of a rolling restart.
	rollGap = 700 * time.Millisecond
	// seriesChance is the chance that a fault of a VM is followed by another one, at
	// the same time or soon after.
	seriesChance = 0.4
)

// NewPlan returns the faults of a seed, in the order of their starts. A disk is lost
// only while all others are well, since the group tolerates the loss of one.
func NewPlan(seed uint64, length time.Duration, vms, controls, servers int) []Fault {
	added := servers
	servers = min(servers, firstNotes)
	r := rand.New(rand.NewPCG(seed, 0))
	p := planner{r: r, vms: vms, controls: controls, length: length}
	for at := p.upTo(vmFaultGap); at < length; at += p.upTo(vmFaultGap) {
		at = p.addSeries(at)
	}
	for at := p.upTo(otherGap); at < length; at += p.upTo(otherGap) {
		kind := otherKinds[r.IntN(len(otherKinds))]
		target := r.IntN(vms)
		if kind.ofServer() {
			target = r.IntN(servers)
		}
		p.faults = append(p.faults, Fault{At: at, For: p.upTo(maxDisturbed), Kind: kind, Target: target})
	}
	p.addReloads(seed)
	p.addLimits(seed, servers)
	p.addEndless(seed, servers)
	p.addPeerLinks(seed)
	p.addReplacement(seed)
	p.addDisks(seed)
	p.addClocks(seed)
	p.addStatements(seed, servers)
	p.addNotes(seed, added)
	p.addCold(seed, added)
	sortByStart(p.faults)
	return p.faults
}

func sortByStart(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
}

// addReloads adds reloads of settings. They are drawn by themselves, so that the other
// faults of a seed do not depend on them.
func (p *planner) addReloads(seed uint64) {
	p.r = rand.New(rand.NewPCG(seed, 1))
	for at := p.upTo(reloadGap); at < p.length; at += p.upTo(reloadGap) {
		p.faults = append(p.faults, Fault{At: at, For: p.upTo(reloadGap), Kind: ReloadVM, Target: p.r.IntN(p.vms)})
	}
}

// addLimits adds limits of servers that forwards go to, drawn by themselves.
func (p *planner) addLimits(seed uint64, servers int) {
	p.r = rand.New(rand.NewPCG(seed, 2))
	for at := p.upTo(limitGap); at < p.length; at += minLimited + p.upTo(limitGap) {
		p.faults = append(p.faults, Fault{At: at, For: minLimited + p.upTo(maxLimited-minLimited), Kind: LimitServer, Target: p.forwarded(servers)})
	}
}

// addEndless adds endless answers of servers that forwards go to, drawn by themselves.
func (p *planner) addEndless(seed uint64, servers int) {
	p.r = rand.New(rand.NewPCG(seed, 3))
	for at := p.upTo(endlessGap); at < p.length; at += p.upTo(endlessGap) {
		p.faults = append(p.faults, Fault{At: at, For: p.upTo(maxDisturbed), Kind: EndlessAnswers, Target: p.forwarded(servers)})
	}
}

// peerKinds are the kinds of faults of connections between VMs.
var peerKinds = []Kind{DelayPeers, ResetPeers, SilencePeers, HalfOpenPeers}

// addPeerLinks adds faults of connections between VMs, drawn by themselves.
func (p *planner) addPeerLinks(seed uint64) {
	p.r = rand.New(rand.NewPCG(seed, 4))
	for at := p.upTo(peerGap); at < p.length; at += p.upTo(peerGap) {
		p.faults = append(p.faults, Fault{At: at, For: p.upTo(maxDisturbed), Kind: peerKinds[p.r.IntN(len(peerKinds))], Target: p.r.IntN(p.vms)})
	}
}

// addReplacement adds the replacement of a control VM, drawn by itself, if there is a time
// for it at which no disk is lost.
func (p *planner) addReplacement(seed uint64) {
	p.r = rand.New(rand.NewPCG(seed, 5))
	at := p.upTo(max(p.length-wipeRecovery, 0))
	nearLoss := func(f Fault) bool {
		return f.Kind == WipeVM && f.At < at+maxDown+wipeRecovery && at < f.At+maxDown+wipeRecovery
	}
	if !slices.ContainsFunc(p.faults, nearLoss) {
		p.faults = append(p.faults, Fault{At: at, For: p.upTo(maxDown), Kind: ReplaceVM, Target: p.r.IntN(p.controls)})
	}
}

// diskKinds are the kinds of faults of disks.
var diskKinds = []Kind{SlowDisk, StallDisk, FullDisk}

// addDisks adds faults of disks, drawn by themselves.
func (p *planner) addDisks(seed uint64) {
	p.r = rand.New(rand.NewPCG(seed, 6))
	for at := p.upTo(diskGap); at < p.length; at += p.upTo(diskGap) {
		p.faults = append(p.faults, Fault{At: at, For: p.upTo(maxDisturbed), Kind: diskKinds[p.r.IntN(len(diskKinds))], Target: p.r.IntN(p.controls)})
	}
}

// addClocks adds steps of the time of day, drawn by themselves.
func (p *planner) addClocks(seed uint64) {
	p.r = rand.New(rand.NewPCG(seed, 7))
	for at := p.upTo(clockGap); at < p.length; at += p.upTo(clockGap) {
		step := time.Duration((p.r.Float64()*2 - 1) * float64(maxStep)).Round(time.Millisecond)
		p.faults = append(p.faults, Fault{At: at, For: p.upTo(maxDown), Kind: StepClock, Target: p.r.IntN(p.vms), Step: step})
	}
}

// statementKinds are the kinds of faults in which a server says something of itself.
var statementKinds = []Kind{SayLeaving, TurnAway}

// addStatements adds such faults, drawn by themselves.
func (p *planner) addStatements(seed uint64, servers int) {
	p.r = rand.New(rand.NewPCG(seed, 8))
	for at := p.upTo(statementGap); at < p.length; at += p.upTo(statementGap) {
		p.faults = append(p.faults, Fault{At: at, For: p.upTo(maxDisturbed), Kind: statementKinds[p.r.IntN(len(statementKinds))], Target: p.forwarded(servers)})
	}
}

// noteKinds are the kinds of faults of servers of streams that may be resumed.
var noteKinds = []Kind{CrashServer, CrashServer, BreakAnswers, ResetServer, SilenceServer, EndlessAnswers, LeaveServer}

// addNotes adds such faults, drawn by themselves.
func (p *planner) addNotes(seed uint64, servers int) {
	p.r = rand.New(rand.NewPCG(seed, 11))
	for at := p.upTo(noteGap); servers > firstNotes && at < p.length; at += p.upTo(noteGap) {
		p.faults = append(p.faults, Fault{At: at, For: p.upTo(maxDisturbed), Kind: noteKinds[p.r.IntN(len(noteKinds))], Target: firstNotes + p.r.IntN(min(servers-firstNotes, noteServers))})
	}
}

// addCold adds crashes of servers that are cold after their start, drawn by themselves.
func (p *planner) addCold(seed uint64, servers int) {
	p.r = rand.New(rand.NewPCG(seed, 12))
	for i := firstCold; i < servers; i++ {
		p.faults = append(p.faults, Fault{At: coldFirst, For: p.upTo(announceInterval), Kind: CrashServer, Target: i})
	}
	for at := coldFirst + p.upTo(coldGap); servers > firstCold && at < p.length; at += p.upTo(coldGap) {
		down, first, last := p.upTo(maxDisturbed), firstCold, servers
		if p.r.Float64() >= allColdChance {
			first += p.r.IntN(servers - firstCold)
			last = first + 1
		}
		for i := first; i < last; i++ {
			p.faults = append(p.faults, Fault{At: at, For: down, Kind: CrashServer, Target: i})
		}
	}
}

// forwarded draws one of the servers that forwards go to, which come last.
func (p *planner) forwarded(servers int) int {
	return firstForwarded + p.r.IntN(max(servers-firstForwarded, 1))
}

// ofServer reports whether a fault's target is a backend server.
func (k Kind) ofServer() bool {
	return slices.Contains([]Kind{DelayServer, ResetServer, SilenceServer, CrashServer, LeaveServer, BreakAnswers, LimitServer, EndlessAnswers, SayLeaving, TurnAway}, k)
}

// planner draws the faults of VMs.
type planner struct {
	r             *rand.Rand
	vms, controls int
	length        time.Duration
	faults        []Fault
	// wipeSafe is when the loss of the last disk has been made good.
	wipeSafe time.Duration
}

func (p *planner) upTo(d time.Duration) time.Duration {
	return time.Duration(p.r.Float64() * float64(d)).Round(time.Millisecond)
}

// addSeries adds faults of VMs from at on, some of which overlap. It returns the time
// of the last one.
func (p *planner) addSeries(at time.Duration) time.Duration {
	for {
		at = p.addVMFault(at)
		if p.r.Float64() >= seriesChance {
			return at
		}
		at += p.upTo(vmFaultGap / 4)
	}
}

// wipeRecovery is the time in which a VM with a new disk becomes a voter.
const wipeRecovery = 6 * time.Second

func (p *planner) addVMFault(at time.Duration) time.Duration {
	kind := vmKinds[p.r.IntN(len(vmKinds))]
	target := p.r.IntN(p.vms)
	switch x := p.r.Float64(); {
	case x < 0.05:
		kind = KillAll
	case x < 0.1:
		p.faults = append(p.faults, Fault{At: at, For: time.Duration(p.vms) * rollGap, Kind: RollVMs})
		return at
	}
	if (kind == WipeVM || kind == TearVM) && target >= p.controls {
		kind = KillVM
	}
	if kind == WipeVM {
		if at < p.wipeSafe || at+wipeRecovery > p.length {
			kind = KillVM
		} else {
			p.wipeSafe = at + maxDown + wipeRecovery
		}
	}
	p.faults = append(p.faults, Fault{At: at, For: p.upTo(maxDown), Kind: kind, Target: target})
	return at
}
