package capacity

import "gonum.org/v1/gonum/mat"

// Fit is a linear function through measured points: Base + PerDaemon*daemons + PerVM*VMs +
// PerProbe*VMs/daemons, since the daemons divide the probes and each keeps the reports of all VMs.
type Fit struct {
	Base      float64
	PerDaemon float64
	PerVM     float64
	PerProbe  float64
}

// NewFit returns the least-squares fit of a value of the points.
func NewFit(pnts []Point, value func(Point) float64) (Fit, error) {
	rows := mat.NewDense(len(pnts), 4, nil)
	vals := mat.NewVecDense(len(pnts), nil)
	for idx, pnt := range pnts {
		rows.SetRow(idx, []float64{1, float64(pnt.Daemons), float64(pnt.VMs), pnt.probes()})
		vals.SetVec(idx, value(pnt))
	}
	var res mat.VecDense
	if err := res.SolveVec(rows, vals); err != nil {
		return Fit{}, err
	}
	return Fit{
		Base:      res.AtVec(0),
		PerDaemon: res.AtVec(1),
		PerVM:     res.AtVec(2),
		PerProbe:  res.AtVec(3),
	}, nil
}

// At returns the fitted value at a size.
func (fit Fit) At(siz Size) float64 {
	return fit.Base + fit.PerDaemon*float64(siz.Daemons) + fit.PerVM*float64(siz.VMs) + fit.PerProbe*siz.probes()
}

// probes is the number of VMs that a daemon probes.
func (siz Size) probes() float64 {
	return float64(siz.VMs) / float64(siz.Daemons)
}
