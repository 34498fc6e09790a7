#pragma once

#include "base/Ids.h"
#include "base/LogEvent.h"
#include "base/Random.h"
#include "base/WallClock.h"
#include "jobs/JobRecord.h"
#include "retention/FirstSeenTimes.h"
#include "retention/JobDeletion.h"
#include "retention/JobPage.h"
#include "retention/PassMap.h"
#include "retention/PrefixPager.h"
#include "retention/RateLimitedCalls.h"
#include "retention/SweepOutcome.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::retention {

// Deletes the expired done jobs of this region with their answers, and the answers of jobs that
// have no record. To save reads, it lists key names by pages, reads a done record only if it
// doesn't know when the job ended or the job has expired, and lists the pieces only of expired jobs
// and of jobs without a record.
template<kv::KeyValueStore Store>
class JobSweep
{
public:
  JobSweep(RateLimitedCalls<Store>& aCalls, Random& aRandom, RegionId aRegion,
           const SweeperSettings& aSettings, const WallClock& aClock, SweepReport& aReport)
    : mCalls(aCalls)
    , mRandom(aRandom)
    , mRegion(std::move(aRegion))
    , mSettings(aSettings)
    , mClock(aClock)
    , mReport(aReport)
  {
  }

  void Run(SweepCallback aDone)
  {
    mDone = std::move(aDone);
    mRegions = { mRegion.Value() };
    AddRegions("jobs/", [this] { AddRegions("done/", [this] { Start(); }); });
  }

private:
  static constexpr std::string_view kIdPrefix = "j-";
  // The characters of job ids, including those of kIdPrefix.
  static constexpr std::string_view kAlphabet = "0123456789abcdefj-";

  // Lists key names and passes them to aNext. Calls aOnTooLarge on TooLarge if it is given; any
  // other error ends the sweep.
  void ReadNames(const std::string& aPrefix, const std::string& aSeparator, Bytes aLimit,
                 std::function<void(kv::NameList)> aNext, std::function<void()> aOnTooLarge = {})
  {
    mCalls.ListNames(
      aPrefix, aSeparator, aLimit, [=, this](std::error_code aError, kv::NameList aNames) {
        if (aError == make_error_code(kv::KvError::TooLarge) && aOnTooLarge) {
          aOnTooLarge();
        } else if (aError) {
          End({ SweepOutcome::Kind::ReadFailed, "list " + aPrefix + ": " + aError.message() });
        } else {
          mReport.mListed += static_cast<std::int64_t>(aNames.mNames.size());
          aNext(std::move(aNames));
        }
      });
  }

  template<typename Function>
  void AddRegions(const std::string& aPrefix, Function aNext)
  {
    ReadNames(aPrefix, "/", mSettings.mNamesLimit, [=, this](const kv::NameList& aNames) {
      for (const auto& it : aNames.mNames) {
        if (it.ends_with('/')) {
          mRegions.insert(it.substr(aPrefix.size(), it.size() - aPrefix.size() - 1));
        }
      }
      aNext();
    });
  }

  // Samples the done records: there are more of them than live ones, because they include each
  // finished job.
  void Start()
  {
    mPager = PrefixPager(std::string(kIdPrefix), kAlphabet, mSettings.mNamesLimit);
    ReadNames(
      "done/" + mRegion.Value() + "/" + mPager.SamplePage(), "/", mSettings.mNamesLimit,
      [this](const kv::NameList& aNames) {
        std::size_t n = 0;
        for (const auto& it : aNames.mNames) {
          // In the response, each name has quotes, a comma and the store's prefix: about 16 bytes.
          n += it.size() + 16;
        }
        mPager.Start(Bytes(static_cast<std::int64_t>(n)));
        NextPage();
      },
      [this] {
        mPager.Start(std::nullopt);
        NextPage();
      });
  }

  void NextPage()
  {
    const auto page = mPager.Next(mRandom);
    if (!page) {
      End({});
      return;
    }
    mPage = JobPage(mRegion, mRegions, *page);
    ReadPage(*page);
  }

  void ReadPage(const std::string& aPage)
  {
    const auto prefix = mPage.NextPrefix();
    if (prefix.empty()) {
      mLocalDoneJobs = mPage.LocalDoneJobs();
      mOrphanedJobs = mPage.OrphanedJobs();
      NextJob();
      return;
    }
    ReadNames(
      prefix, "/", mSettings.mNamesLimit,
      [this, aPage](const kv::NameList& aNames) {
        mPage.Add(aNames);
        ReadPage(aPage);
      },
      [this, aPage] {
        mPager.Split(aPage);
        NextPage();
      });
  }

  static std::optional<std::string> Pop(std::vector<std::string>& aJobs)
  {
    if (aJobs.empty()) {
      return std::nullopt;
    }
    auto job = std::move(aJobs.back());
    aJobs.pop_back();
    return job;
  }

  bool IsExpired(std::int64_t aSince) const
  {
    return mClock() - aSince >= mSettings.mJobRetention.count();
  }

  void NextJob()
  {
    while (const auto job = Pop(mLocalDoneJobs)) {
      const auto* ended = mEndTimes.Find(*job);
      if (!ended || IsExpired(*ended)) {
        ReadRecord(*job);
        return;
      }
      mEndTimes.Set(*job, *ended);
    }
    if (const auto job = Pop(mOrphanedJobs)) {
      ReadNames(
        "answers/" + *job + "/", "", mSettings.mLongNamesLimit,
        [this, job](const kv::NameList& aPieces) { OnOrphanedPieces(*job, aPieces); },
        [this, job] { Skip(*job); });
      return;
    }
    NextPage();
  }

  void ReadRecord(const std::string& aJob)
  {
    const auto key = "done/" + mRegion.Value() + "/" + aJob;
    mCalls.Get(key, [=, this](std::error_code aError, const std::optional<kv::Entry>& aEntry) {
      if (aError) {
        End({ SweepOutcome::Kind::ReadFailed, "read " + key + ": " + aError.message() });
      } else if (aEntry) {
        OnRecord(aJob, *aEntry);
      } else {
        NextJob();
      }
    });
  }

  // Deletes the job if it has expired. The record may have changed since its key was listed; this
  // version of it counts, because each deleting transaction compares it.
  void OnRecord(const std::string& aJob, const kv::Entry& aEntry)
  {
    const auto record = jobs::ReadJobRecord(aEntry);
    const auto ended = record ? record->mEndedMs : 0;
    const auto since = ended > 0 ? ended : mSeen.Since(aEntry.mKey, aEntry.mModifyIndex, mClock());
    if (!IsExpired(since)) {
      if (ended > 0) {
        mEndTimes.Set(aJob, ended);
      }
      NextJob();
      return;
    }
    if (mPage.IsInOtherRegion(aJob)) {
      mDeletion = JobDeletion::ForRecordOnly(aEntry.mKey, aEntry.mModifyIndex);
      Delete();
      return;
    }
    mDeletion = JobDeletion::ForExpiredJob(aJob, mRegions, aEntry.mKey, aEntry.mModifyIndex);
    ReadNames(
      "answers/" + aJob + "/", "", mSettings.mLongNamesLimit,
      [this, aJob](const kv::NameList& aPieces) {
        for (const auto& it : aPieces.mNames) {
          mDeletion.AddPiece(it);
        }
        DeleteOrSkip(aJob);
      },
      [this, aJob] { Skip(aJob); });
  }

  void OnOrphanedPieces(const std::string& aJob, const kv::NameList& aPieces)
  {
    const auto since = mSeen.Since("answers/" + aJob, aPieces.mIndex, mClock());
    if (aPieces.mNames.empty() || !IsExpired(since)) {
      NextJob();
      return;
    }
    mDeletion = JobDeletion::ForOrphanedPieces(aJob, mRegions);
    mPieces = aPieces.mNames;
    ReadPieces(aJob);
  }

  // Reads the versions of the pieces, because without a record only they show whether a job has
  // written the pieces again by the time of the delete.
  void ReadPieces(const std::string& aJob)
  {
    const auto key = Pop(mPieces);
    if (!key) {
      DeleteOrSkip(aJob);
      return;
    }
    mCalls.Get(*key, [=, this](std::error_code aError, const std::optional<kv::Entry>& aEntry) {
      if (aError) {
        End({ SweepOutcome::Kind::ReadFailed, "read " + *key + ": " + aError.message() });
        return;
      }
      if (aEntry) {
        mDeletion.AddPiece(*key, aEntry->mModifyIndex);
      }
      ReadPieces(aJob);
    });
  }

  void Skip(const std::string& aJob)
  {
    LogEvent("retention_job_skipped", LogLevel::Warning).With("job", aJob);
    ++mReport.mSkipped;
    NextJob();
  }

  void DeleteOrSkip(const std::string& aJob)
  {
    if (mDeletion.HasRoomForDeletes()) {
      Delete();
    } else {
      Skip(aJob);
    }
  }

  void Delete()
  {
    if (mDeletion.IsEnded()) {
      NextJob();
      return;
    }
    mCalls.Transact(mDeletion.NextBatch(),
                    [this](std::error_code aError, const kv::TransactionResult& aResult) {
                      if (aError) {
                        End({ SweepOutcome::Kind::DeleteFailed, "delete: " + aError.message() });
                      } else if (aResult.mApplied) {
                        mDeletion.OnApplied(mReport);
                        Delete();
                      } else {
                        ++mReport.mSkipped;
                        NextJob();
                      }
                    });
  }

  void End(const SweepOutcome& aOutcome)
  {
    const bool complete = aOutcome.mKind == SweepOutcome::Kind::Complete;
    mEndTimes.EndPass(complete);
    mSeen.EndPass(complete);
    mPage = {};
    std::exchange(mDone, {})(aOutcome);
  }

  RateLimitedCalls<Store>& mCalls;
  Random& mRandom;
  RegionId mRegion;
  const SweeperSettings& mSettings;
  const WallClock& mClock;
  SweepReport& mReport;
  SweepCallback mDone;
  // When the done jobs of this region ended, in milliseconds since 1970.
  PassMap<std::int64_t> mEndTimes;
  FirstSeenTimes mSeen;
  std::set<std::string> mRegions;
  PrefixPager mPager;
  JobPage mPage;
  std::vector<std::string> mLocalDoneJobs;
  std::vector<std::string> mOrphanedJobs;
  std::vector<std::string> mPieces;
  JobDeletion mDeletion;
};

} // namespace lovagerock::retention
