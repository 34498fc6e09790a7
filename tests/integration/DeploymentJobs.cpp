#include "integration/DeploymentJobs.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>
#include <numeric>
#include <vector>

namespace lovagerock::integration {

namespace {

using std::chrono::milliseconds;

// Jobs of one step whose tasks are alike.
struct JobKind
{
  // How many jobs are of this kind, in relation to the other kinds.
  double mWeight = 0;
  double mMeanTasks = 0;
  int mMilliCores = 0;
  int mMemoryMb = 0;
  // The accelerators of a task, each number as likely as the others.
  std::vector<int> mAccelerators;
  milliseconds mTime{ 0 };
  bool mIsGang = false;
  // The part of the jobs that prefer one rack.
  double mOneRackShare = 0;
};

const std::vector<JobKind>&
Kinds()
{
  static const std::vector<JobKind> kKinds{
    { 2.59, 13, 52000, 75000, { 1, 2 }, milliseconds(6800), true, 0.6 },
    { 11, 5.4, 15000, 22000, { 1, 2, 4, 8, 8 }, milliseconds(2500), true, 0.8 },
    { 2.54, 39, 11000, 16000, { 1 }, milliseconds(6100), false, 0 },
  };
  return kKinds;
}

// The number of tasks is the mean times a factor that is distributed lognormally.
constexpr double kWidthMu = -0.25;
constexpr double kWidthSigma = 0.7;
constexpr double kLargestWidthFactor = 6;
// Times differ from those of their kind by a factor in this range.
constexpr double kShortestTimeFactor = 0.7;
constexpr double kLongestTimeFactor = 1.4;
// Estimates of callers are off by one of these factors.
constexpr std::array kEstimateFactors{ 0.5, 1.0, 2.0 };

double
DrawNormal(Random& aRandom)
{
  // The Box-Muller transform.
  const double radius = std::sqrt(-2 * std::log(1 - aRandom.Fraction()));
  return radius * std::cos(2 * std::numbers::pi * aRandom.Fraction());
}

const JobKind&
DrawKind(Random& aRandom)
{
  const auto& kinds = Kinds();
  double sum = 0;
  for (const auto& it : kinds) {
    sum += it.mWeight;
  }
  double left = aRandom.Fraction() * sum;
  for (const auto& it : kinds) {
    left -= it.mWeight;
    if (left < 0) {
      return it;
    }
  }
  return kinds.back();
}

int
DrawTasks(Random& aRandom, double aMean)
{
  const double factor = std::exp(kWidthMu + kWidthSigma * DrawNormal(aRandom));
  return std::max(1, static_cast<int>(std::lround(aMean * std::min(factor, kLargestWidthFactor))));
}

milliseconds
Scale(milliseconds aTime, double aFactor)
{
  return std::chrono::duration_cast<milliseconds>(aTime * aFactor);
}

} // namespace

WorkerFleet
DeploymentWorkers(int aCount)
{
  WorkerFleet workers;
  workers.mCount = aCount;
  workers.mPerRack = 8;
  workers.mMilliCores = 128000;
  workers.mMemoryMb = 262144;
  workers.mAccelerators = 8;
  return workers;
}

TrafficJob
DrawDeploymentJob(Random& aRandom)
{
  const auto& kind = DrawKind(aRandom);
  const double spread = kLongestTimeFactor - kShortestTimeFactor;
  const auto time = Scale(kind.mTime, kShortestTimeFactor + spread * aRandom.Fraction());
  const double error = kEstimateFactors.at(aRandom.Below(kEstimateFactors.size()));
  Json step{ { "count", DrawTasks(aRandom, kind.mMeanTasks) },
             { "cpu", kind.mMilliCores },
             { "mem_mb", kind.mMemoryMb },
             { "gpu", kind.mAccelerators.at(aRandom.Below(kind.mAccelerators.size())) },
             { "estimate_ms", Scale(time, error).count() } };
  if (kind.mIsGang) {
    step["gang"] = true;
    if (aRandom.Fraction() < kind.mOneRackShare) {
      step["rack_local"] = true;
    }
  }
  return { Json::array({ step }), time };
}

std::chrono::duration<double>
MeanAcceleratorTime()
{
  const double widthFactor = std::exp(kWidthMu + kWidthSigma * kWidthSigma / 2);
  const double timeFactor = (kShortestTimeFactor + kLongestTimeFactor) / 2;
  double weights = 0;
  std::chrono::duration<double> time{ 0 };
  for (const auto& it : Kinds()) {
    const double accelerators =
      std::accumulate(it.mAccelerators.begin(), it.mAccelerators.end(), 0.0) /
      static_cast<double>(it.mAccelerators.size());
    weights += it.mWeight;
    time += it.mTime * (it.mWeight * it.mMeanTasks * widthFactor * accelerators * timeFactor);
  }
  return time / weights;
}

JobSource
DeploymentJobs(int aLoadPercent, const WorkerFleet& aWorkers, int aCallers)
{
  const double accelerators = aWorkers.mCount * aWorkers.mAccelerators * aLoadPercent / 100.0;
  const auto meanPause = MeanAcceleratorTime() * aCallers / accelerators;
  const auto drawPause = [meanPause](Random& aRandom) {
    return std::chrono::duration_cast<milliseconds>(meanPause * -std::log(1 - aRandom.Fraction()));
  };
  return { DrawDeploymentJob, drawPause };
}

} // namespace lovagerock::integration
